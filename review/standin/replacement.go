package main

import (
	"fmt"
	"time"
)

const (
	catchUp      = 4 * time.Second
	recoveryTime = 12 * time.Second
)

// replacement replaces a machine of the core as planned: its successor starts first.
// After the successor has had twice its time the old machine stops for good. When it
// has stopped, another machine loses its disk and is back after a second.
func replacement(s *site, trouble bool) (string, error) {
	machines, err := startSmallSite(s)
	if err != nil {
		return "", err
	}
	stays, loses, old := machines[0], machines[1], machines[2]
	if err := configure(s, 7, machines...); err != nil {
		return "", err
	}
	successor := s.addFrontend(4, "frontend-"+old.zone+"-2", old.zone, "entry", "keeper")
	if err := successor.start(false); err != nil {
		return "", err
	}
	time.Sleep(2 * catchUp)
	stopped := make(chan struct{})
	go func() {
		old.stop()
		close(stopped)
	}()
	time.Sleep(time.Second)
	if err := configure(s, 9, stays, loses, successor); err != nil {
		return "", err
	}
	<-stopped
	if trouble {
		loses.kill()
		if err := loses.loseDisk(); err != nil {
			return "", err
		}
		time.Sleep(time.Second)
		if err := loses.start(false); err != nil {
			return "", err
		}
	}
	backAt := time.Now()
	return readBack(s, 9, backAt, stays, loses, successor), nil
}

// readBack asks the machines for the configuration until recoveryTimeS and as long
// again have passed.
func readBack(s *site, version int, from time.Time, machines ...*machine) string {
	asked, last := 0, ""
	for i := 0; time.Since(from) < 3*recoveryTime; i++ {
		m := machines[i%len(machines)]
		got, reason := readConfiguration(m)
		s.rec.add("operator reads from %s: configuration %d %s", m.name, got, reason)
		asked++
		last = reason
		if got == version && time.Since(from) > catchUp {
			return ""
		}
		if got > 0 && got < version {
			return fmt.Sprintf("CONFIG: %s answers with configuration %d after %d was acknowledged", m.name, got, version)
		}
		time.Sleep(500 * time.Millisecond)
	}
	return fmt.Sprintf("LOST: none of %d reads in %.0f s after the machine was back returned the acknowledged configuration %d; the last: %s",
		asked, time.Since(from).Seconds(), version, last)
}
