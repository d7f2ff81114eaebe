// Package traffic holds the plain data of steering on a managed platform:
// requests, routes, services, upstream servers, instances, the events that the
// reducer takes in and the effects that it hands out.
//
// Nothing here knows how any of it is written on the wire; a Codec and a Store
// translate.
//
// Usage:
//
//	effects := s.Reduce(now, traffic.Arrived{Call: 1, Request: request})
//	for _, x := range effects {
//		switch x := x.(type) {
//		case traffic.Send:
//			...
//		}
//	}
package traffic
