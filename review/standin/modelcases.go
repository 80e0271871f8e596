package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// startModelSite starts the small site with one model engine in each of the zones,
// each with its agent, and one engine of the plain service.
func startModelSite(s *site, in ...string) ([]*machine, []*machine, []*modelEngine, error) {
	machines, err := startSmallSite(s)
	if err != nil {
		return nil, nil, nil, err
	}
	origin, err := s.startOrigin(28)
	if err != nil {
		return nil, nil, nil, err
	}
	var sides []*machine
	var engines []*modelEngine
	for i, z := range in {
		e, err := s.newModelEngine(20+i, "i-model-"+z, z)
		if err != nil {
			return nil, nil, nil, err
		}
		side := s.addSide(20+i, "side-"+z+"-1", z, e.address, modelName)
		if err := side.start(true); err != nil {
			return nil, nil, nil, err
		}
		go e.announce(machines...)
		engines, sides = append(engines, e), append(sides, side)
	}
	plain, err := s.newEngine(10, "i-plain", zones[0])
	if err != nil {
		return nil, nil, nil, err
	}
	go plain.announce(machines...)
	first, second := modelConfigurations(origin)
	if _, ok := s.order("configuration 7", "PUT", words["configuration"], first, 20*time.Second, machines...); !ok {
		return nil, nil, nil, errNotRun
	}
	if _, ok := s.order("configuration 9", "PUT", words["configuration"], second, ackTimeout, machines...); !ok {
		return nil, nil, nil, errNotRun
	}
	return machines, sides, engines, nil
}

// nameVersion publishes a version of the weights.
func nameVersion(s *site, version int64, to ...*machine) (time.Time, error) {
	body, _ := json.Marshal(object{"modelName": modelID, "version": version})
	at, ok := s.order(fmt.Sprintf("version %d", version), "POST", words["namedVersion"], body, ackTimeout, to...)
	if !ok {
		return at, errNotRun
	}
	return at, nil
}

// oldCheck freezes the machine of a model engine right after its agent has read back
// the staged pieces. Meanwhile one of them turns bad.
func oldCheck(s *site, trouble bool) (string, error) {
	machines, sides, engines, err := startModelSite(s, zones[0])
	if err != nil {
		return "", err
	}
	e, side := engines[0], sides[0]
	c := newClients(s)
	if err := awaitStreams(c, machines[0]); err != nil {
		return "", err
	}
	c.run(machines[0], "POST", modelPrefix, 200*time.Millisecond)
	time.Sleep(5 * time.Second)
	thawed := make(chan struct{})
	if trouble {
		e.onVerified = func() {
			side.freeze()
			e.freeze()
			time.Sleep(100 * time.Millisecond)
			e.spoil(5)
			time.Sleep(freezeTime - 100*time.Millisecond)
			e.thaw()
			side.thaw()
			close(thawed)
		}
	}
	if _, err := nameVersion(s, 2, machines...); err != nil {
		return "", err
	}
	if trouble {
		select {
		case <-thawed:
		case <-time.After(30 * time.Second):
			return "", errNotRun
		}
	}
	err = until(30*time.Second, "the engine doesn't load version 2", func() bool { v, _, _ := e.counts(); return v == 2 })
	if err != nil {
		return "", err
	}
	time.Sleep(8 * time.Second)
	c.finish()
	_, runs, spoilt := e.counts()
	s.rec.add("engine %s: %d runs, of which %d on spoilt weights", e.id, runs, spoilt)
	if spoilt == 0 {
		return "", nil
	}
	return fmt.Sprintf("WHOLE: %d requests ran on weights that were loaded with a piece which had been bad for more than 3 s", spoilt), nil
}

// awaitStreams waits until a machine serves a stream.
func awaitStreams(c *clients, m *machine) error {
	return until(20*time.Second, m.name+" serves no stream", func() bool { return m.isReady() && c.send(m, "POST", modelPrefix).status == 200 })
}

// lostOrder lets two engines accept an order without a response.
func lostOrder(s *site, trouble bool) (string, error) {
	machines, _, engines, err := startModelSite(s, zones[0], zones[1])
	if err != nil {
		return "", err
	}
	c := newClients(s)
	if err := awaitStreams(c, machines[0]); err != nil {
		return "", err
	}
	for _, m := range machines {
		c.run(m, "POST", modelPrefix, 250*time.Millisecond)
		c.run(m, "GET", readPrefix, 250*time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	for _, e := range engines {
		e.losesAnswer = trouble
	}
	ackedAt, err := nameVersion(s, 2, machines...)
	if err != nil {
		return "", err
	}
	err = until(30*time.Second, "the engines don't load version 2", func() bool {
		for _, e := range engines {
			if v, _, _ := e.counts(); v != 2 {
				return false
			}
		}
		return true
	})
	if err != nil {
		return "", err
	}
	time.Sleep(time.Until(ackedAt.Add(20 * time.Second)))
	if _, err := nameVersion(s, 3, machines...); err != nil {
		return "", err
	}
	time.Sleep(40 * time.Second)
	c.finish()
	return unserved(s, c, engines, ackedAt.Add(12*time.Second)), nil
}

// unserved compares how often streams, whose route was added later, and requests on
// the first routes were served, of those that were sent from a moment on.
func unserved(s *site, c *clients, engines []*modelEngine, from time.Time) string {
	streams, plain := [2]int{}, [2]int{}
	for _, a := range c.sentAfter(from) {
		count := &plain
		if a.prefix == modelPrefix {
			count = &streams
		}
		count[0]++
		if a.status == 200 && a.err == nil {
			count[1]++
		}
	}
	for _, e := range engines {
		v, runs, _ := e.counts()
		s.rec.add("engine %s holds version %d, has run %d requests", e.id, v, runs)
	}
	s.rec.add("from %s on: %d of %d streams served, %d of %d plain requests", s.rec.at(from), streams[1], streams[0], plain[1], plain[0])
	if streams[0] < 20 || float64(streams[1])/float64(streams[0]) >= float64(plain[1])/float64(max(plain[0], 1))/4 {
		return ""
	}
	return fmt.Sprintf("CONFIG: %d of %d requests on the route that was added later were served in the last %.0f s, and %d of %d on the first routes, while both engines were idle",
		streams[1], streams[0], time.Since(from).Seconds(), plain[1], plain[0])
}
