package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	drainBound = 2 * time.Second
	// lingers is how long the leaving engine serves after its acknowledgement:
	// drainTimeoutMs and some seconds.
	lingers = 6 * time.Second
)

// forgottenLeave lets an engine leave with DELETE. The machine that acknowledged it
// is killed half a second later and starts again at once.
func forgottenLeave(s *site, trouble bool) (string, error) {
	machines, err := startSmallSite(s)
	if err != nil {
		return "", err
	}
	killed, second, third := machines[0], machines[1], machines[2]
	if err := configure(s, 7, machines...); err != nil {
		return "", err
	}
	stays, err := s.newEngine(10, "i-stays", "bern-a")
	if err != nil {
		return "", err
	}
	leaves, err := s.newEngine(11, "i-leaves", "stgallen-a")
	if err != nil {
		return "", err
	}
	long := func(r *http.Request) time.Duration {
		if r.Method == http.MethodPost {
			return 900 * time.Millisecond
		}
		return 60 * time.Millisecond
	}
	stays.work, leaves.work = long, long
	go stays.announce(machines...)
	for i := range 4 {
		leaves.beat(machines[i%3])
		time.Sleep(heartbeatInterval)
	}
	c := newClients(s)
	if err := awaitService(c, machines...); err != nil {
		return "", err
	}
	for _, m := range machines {
		c.run(m, "POST", writePrefix, 250*time.Millisecond)
		c.run(m, "GET", readPrefix, 100*time.Millisecond)
	}
	for _, m := range []*machine{killed, third, second} {
		leaves.beat(m)
		time.Sleep(heartbeatInterval)
	}
	ackedAt, ok := s.order("the end of engine i-leaves", "DELETE", words["instances"]+leaves.id, nil, ackTimeout, killed)
	if !ok {
		return "", errNotRun
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		killed.kill()
		time.Sleep(300 * time.Millisecond)
		if err := killed.start(false); err != nil {
			return "", err
		}
	}
	startedAt := time.Now()
	time.Sleep(time.Until(ackedAt.Add(lingers)))
	_ = leaves.server.Close()
	s.rec.add("engine i-leaves has ended")
	time.Sleep(4 * time.Second)
	c.finish()
	return lateAtEngine(s, c, leaves, ackedAt, startedAt), nil
}

// lateAtEngine counts the requests that reach an engine later than the bound, and
// after the time from which the machine that was killed is in touch again.
func lateAtEngine(s *site, c *clients, e *engine, ackedAt, startedAt time.Time) string {
	from := ackedAt.Add(drainBound)
	if t := startedAt.Add(contactTime); t.After(from) {
		from = t
	}
	n, cut, last := 0, 0, time.Duration(0)
	for _, a := range e.ranAfter(from) {
		sent := c.find(a.attempt)
		if sent == nil {
			continue
		}
		n++
		last = a.at.Sub(ackedAt)
		if a.ended.IsZero() {
			cut++
			s.rec.add("%s from %s was cut when the engine ended: status %d, %v", a.attempt, sent.to.name, sent.status, sent.err)
		}
	}
	s.rec.add("requests at %s from %s on: %d, of which %d were cut by its end", e.id, s.rec.at(from), n, cut)
	if n == 0 {
		return ""
	}
	return fmt.Sprintf("DRAIN: %d requests reached the engine, the last %.1f s after its end was acknowledged (bound %.0f s); %d were cut when it ended",
		n, last.Seconds(), drainBound.Seconds(), cut)
}
