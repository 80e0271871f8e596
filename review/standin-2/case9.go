package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func callRoute(name, prefix, kind, service string) map[string]any {
	attempts := 1
	if kind == "idempotent" {
		attempts = 2
	}
	return map[string]any{
		"name": name, "host": "jepu9.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": 1500, "targetLatencyMs": 300, "priority": 2,
		"service": service, "maxAttempts": attempts, "public": false, "sessionAffinity": false, "streamResumption": false, "allowedRegions": []string{},
	}
}

func plainService(name string) map[string]any {
	return map[string]any{
		"name": name, "healthCheckPath": "/health", "connectionLimit": 54, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0,
	}
}

func callRequest(entry, method, path string) request {
	q := request{entry: entry, method: method, host: "jepu9.example", path: path, id: newID(), deadline: 3 * time.Second}
	if method == http.MethodPost {
		q.body = fmt.Sprintf("{\"emptied\":%q}", q.id)
	}
	return q
}

// playSpoiltAnswers sends calls to three engines of a plain service, one of which
// hands out wrong bytes.
func playSpoiltAnswers(s *site) {
	for n := range 3 {
		flags := []string{"-gap", "30ms", "-spoilt", "0.02"}
		if n == 0 {
			s.startRoles()
		}
		s.startEngine(n, "kafi81c", false, flags...)
	}
	routes := []any{callRoute("r-lesen", "/lesen/", "idempotent", "kafi81c"), callRoute("r-buchen", "/buchen/", "non_idempotent", "kafi81c")}
	s.order(http.MethodPut, words["configuration"], document(7, routes, []any{plainService("kafi81c")}))
	s.awaitEntries(func(entry string) bool {
		r := callRequest(entry, http.MethodGet, "/lesen/1").send()
		return r.status == http.StatusOK && r.err == nil && r.body == wholeBody(r.id)
	})
	// The engine hands out wrong bytes for 5 s, with pauses of 5 s.
	const requests, perSecond, seconds = 4000, 100, 5
	span := perSecond * seconds
	var wait sync.WaitGroup
	var mu sync.Mutex
	statuses := map[string]int{}
	for i := range requests {
		if s.trouble && i%(2*span) == 0 {
			s.engines[0].signal(syscall.SIGUSR1)
		} else if i%(2*span) == span {
			s.engines[0].signal(syscall.SIGUSR2)
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			method, path := http.MethodGet, "/lesen/"+newID()
			if i%2 == 0 {
				method, path = http.MethodPost, "/buchen/1"
			}
			r := callRequest(s.entry(i), method, path).send()
			mu.Lock()
			statuses[fmt.Sprintf("%s %d, error %v", method, r.status, r.err)]++
			mu.Unlock()
			if r.status/100 != 2 || r.err != nil {
				s.note("%s %s: status %d, error %v", method, r.id, r.status, r.err)
				return
			}
			if r.header.Get(words["signature"]) == "" {
				s.breaks("%s %s got status %d without a signature; header %v", method, r.id, r.status, r.header)
			}
			if r.body != wholeBody(r.id) {
				s.breaks("%s %s got another body", method, r.id)
			}
		}()
		time.Sleep(time.Second / perSecond)
	}
	wait.Wait()
	for k, n := range statuses {
		s.note("%d times: %s", n, k)
	}
}
