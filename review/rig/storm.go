//go:build review

package main

import (
	"fmt"
	"time"
)

func init() { cases["storm"] = playStorm }

// playStorm runs six instances of one region. The configuration has many routes. With the
// disruption configurations come in quick succession, in several series.
func playStorm(r *rig) (bool, error) {
	const (
		instances = 6
		idle      = 2800
		// A series has a change each gap for seriesLength; rest follows it.
		gap          = 60 * time.Millisecond
		seriesLength = 1500 * time.Millisecond
		rest         = 1500 * time.Millisecond
		length       = 66 * time.Second
	)
	version := 0
	change := func() {
		version++
		routes := map[string]any{"orders": route("/orders/", "unsafe", "orders", orderDeadline)}
		for n := range idle {
			one := route(fmt.Sprintf("/idle%d/", n), "unsafe", "orders", orderDeadline)
			one["host"] = fmt.Sprintf("idle%d.example", n%8)
			one["priority"] = version % 3
			routes[fmt.Sprintf("r-idle-%d", n)] = one
		}
		r.configure(version, routes, "orders")
	}
	change()
	for n := range 4 {
		r.fleet.start(fmt.Sprintf("o-%d", n), "orders", []string{"gent-a", "gent-b"}[n%2], 9)
	}
	names := []string{}
	for n := range instances {
		names = append(names, fmt.Sprintf("front-gent-%d", n))
	}
	if err := r.startInstances(names...); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	clients := []*bystanders{}
	for _, front := range r.instances {
		b := &bystanders{rig: r, front: front}
		b.start(6)
		clients = append(clients, b)
	}
	for begin := time.Now(); time.Since(begin) < length; {
		series := time.Now()
		for next := series; next.Before(series.Add(seriesLength)); next = next.Add(gap) {
			time.Sleep(time.Until(next))
			if r.trouble {
				change()
			}
		}
		time.Sleep(time.Until(series.Add(seriesLength + rest)))
		for _, i := range r.instances {
			_, peakMB := i.memory()
			r.logf("%s has held %d MB at most", i.name, peakMB)
		}
	}
	broken := false
	for _, b := range clients {
		broken = b.end() || broken
	}
	return broken, nil
}
