package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const heartbeatInterval = 1200 * time.Millisecond

// engine is a stand-in for an engine of the plain service.
type engine struct {
	site              *site
	id, address, zone string
	// work is how long a request takes.
	work func(r *http.Request) time.Duration

	mu       sync.Mutex
	born     int64
	sequence int64
	silent   bool
	server   *http.Server
	arrivals []arrival
}

// arrival is a request that an engine runs.
type arrival struct {
	at      time.Time
	attempt string
	// ended is zero if the engine ended first.
	ended time.Time
}

func (s *site) newEngine(host int, id, zone string) (*engine, error) {
	e := &engine{site: s, id: id, zone: zone, address: s.at(host, s.ports.service), born: time.Now().UnixMilli()}
	e.work = func(*http.Request) time.Duration { return 60 * time.Millisecond }
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return nil, err
	}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go func() { _ = e.server.Serve(l) }()
	return e, nil
}

// beat announces the engine to one machine.
func (e *engine) beat(m *machine) bool {
	e.mu.Lock()
	e.sequence++
	body, _ := json.Marshal(object{
		"service": plainName, "address": e.address, "zone": e.zone, "version": "v1", "slots": 6, "state": "ready",
		words["coldRemaining"]: 0, "sequenceNumber": e.sequence, "born": e.born,
	})
	silent := e.silent
	e.mu.Unlock()
	if silent {
		return false
	}
	status, _, err := call(http.MethodPut, m.controlPlane(), words["instances"]+e.id, body, callTimeout)
	ok := err == nil && status/100 == 2
	e.site.rec.add("engine %s announces itself to %s, acknowledged %v", e.id, m.name, ok)
	return ok
}

// announce sends a heartbeat every interval until the engine is silent. Each goes to
// the machines in turn until one acknowledges it.
func (e *engine) announce(to ...*machine) {
	for n := 0; ; n++ {
		for i := range to {
			if e.beat(to[(n+i)%len(to)]) {
				break
			}
		}
		e.mu.Lock()
		silent := e.silent
		e.mu.Unlock()
		if silent {
			return
		}
		time.Sleep(heartbeatInterval)
	}
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set(words["instance"], e.id)
		return
	}
	id := r.Header.Get(words["attempt"])
	w.Header().Set(words["attempt"], id)
	_, _ = io.Copy(io.Discard, r.Body)
	if expected := r.Header.Get(words["expectedInstance"]); expected != "" && expected != e.id {
		w.Header().Set(words["notRun"], "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	n := len(e.arrivals)
	e.arrivals = append(e.arrivals, arrival{at: time.Now(), attempt: id})
	e.mu.Unlock()
	e.site.rec.add("engine %s runs %s", e.id, id)
	select {
	case <-time.After(e.work(r)):
	case <-r.Context().Done():
		return
	}
	e.mu.Lock()
	e.arrivals[n].ended = time.Now()
	e.mu.Unlock()
	w.Header().Set(words["signature"], "s."+id)
	_, _ = fmt.Fprintf(w, "answer to %s", id)
}

// ranAfter returns the requests that the engine ran from a moment on.
func (e *engine) ranAfter(from time.Time) []arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []arrival
	for _, a := range e.arrivals {
		if !a.at.Before(from) {
			out = append(out, a)
		}
	}
	return out
}
