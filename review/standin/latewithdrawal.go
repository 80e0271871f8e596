package main

import (
	"fmt"
	"time"
)

const (
	evacuationBound = 5 * time.Second
	// outerBound is by how much an unstable core stretches that bound at most.
	outerBound  = 5 * time.Second
	contactTime = 3 * time.Second
	ackTimeout  = 4 * time.Second
	freezeTime  = 4 * time.Second
)

// lateWithdrawal empties a zone, takes it back and empties it again, while one
// machine of the core is frozen. The operator sends the withdrawal to that machine
// first, and to another one after a second without a response.
func lateWithdrawal(s *site, trouble bool) (string, error) {
	machines, err := startSmallSite(s)
	if err != nil {
		return "", err
	}
	sound, frozen, other := machines[0], machines[2], machines[1]
	if err := configure(s, 7, sound, other); err != nil {
		return "", err
	}
	var emptied *engine
	for i, z := range zones {
		e, err := s.newEngine(10+i, "i-"+z, z)
		if err != nil {
			return "", err
		}
		go e.announce(sound, other)
		if z == "stgallen-a" {
			emptied = e
		}
	}
	c := newClients(s)
	if err := awaitService(c, machines...); err != nil {
		return "", err
	}
	for _, m := range machines {
		c.run(m, "GET", readPrefix, 100*time.Millisecond)
	}
	path := words["evacuation"] + emptied.zone
	if _, ok := s.order("evacuation", "POST", path, nil, ackTimeout, sound, other); !ok {
		return "", errNotRun
	}
	time.Sleep(8 * time.Second)
	frozenAt := time.Now()
	if trouble {
		frozen.freeze()
		defer frozen.signal(18) // SIGCONT
	}
	time.Sleep(300 * time.Millisecond)
	if _, ok := s.order("withdrawal", "DELETE", path, nil, ackTimeout, frozen, sound, other); !ok {
		return "", errNotRun
	}
	ackedAt, ok := s.order("second evacuation", "POST", path, nil, ackTimeout, sound, other)
	if !ok {
		return "", errNotRun
	}
	time.Sleep(time.Until(frozenAt.Add(freezeTime)))
	if trouble {
		frozen.thaw()
	}
	wokenAt := time.Now()
	time.Sleep(time.Until(ackedAt.Add(evacuationBound + outerBound + 8*time.Second)))
	c.finish()
	return lateArrivals(s, c, emptied, ackedAt, wokenAt, frozen), nil
}

// lateArrivals counts the requests that reach an engine of the emptied zone from
// machines without a disruption, later than the bound with its largest stretch.
func lateArrivals(s *site, c *clients, e *engine, ackedAt, wokenAt time.Time, frozen *machine) string {
	from := ackedAt.Add(evacuationBound + outerBound)
	if t := wokenAt.Add(contactTime); t.After(from) {
		from = t
	}
	n, last := 0, time.Duration(0)
	for _, a := range e.ranAfter(from) {
		if sent := c.find(a.attempt); sent != nil && sent.to != frozen {
			n++
			last = a.at.Sub(ackedAt)
		}
	}
	s.rec.add("requests at %s from %s on, sent by machines that were not frozen: %d", e.id, s.rec.at(from), n)
	if n == 0 {
		return ""
	}
	return fmt.Sprintf("EVAC: %d requests reached the engine in %s, the last %.1f s after its evacuation was acknowledged (bound %.0f s)",
		n, e.zone, last.Seconds(), evacuationBound.Seconds())
}
