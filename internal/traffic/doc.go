// Package traffic defines the data types of an entry instance on a managed
// platform: requests, routes, services, upstream servers, instances, and the
// events and effects of the reducer in package steerer.
//
// The types do not depend on a wire format. A Codec and a Store translate them.
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
