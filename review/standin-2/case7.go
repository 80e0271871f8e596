package main

import (
	"net/http"
	"syscall"
	"time"
)

// Bounds of the site.
const (
	evacuationTime = 5 * time.Second
	contactTime    = 3 * time.Second
	freezeTime     = 4 * time.Second
)

// playUndoneEvacuation evacuates a zone, takes that back while the leader of the
// keepers is frozen, and evacuates it again. The operator resends an order for one
// second at most, which is one call.
func playUndoneEvacuation(s *site) {
	s.startRoles()
	for n := range 3 {
		s.startEngine(n, "kafi81c", false, "-gap", "30ms")
	}
	s.order(http.MethodPut, words["configuration"], document(7, []any{callRoute("r-lesen", "/lesen/", "idempotent", "kafi81c")}, []any{plainService("kafi81c")}))
	s.awaitEntries(func(entry string) bool {
		r := callRequest(entry, http.MethodGet, "/lesen/1").send()
		return r.status == http.StatusOK && r.err == nil
	})
	stop := s.trickle(30, func(n int) { callRequest(s.entry(n), http.MethodGet, "/lesen/"+newID()).send() })
	defer stop()
	path, rounds := words["evacuation"]+"bern-a", 3
	for round := range rounds {
		s.note("round %d", round+1)
		s.order(http.MethodPost, path, nil)
		time.Sleep(evacuationTime)
		leader := s.leader()
		other, third := (leader+1)%3, (leader+2)%3
		if s.trouble {
			s.note("%s, which leads, is frozen", s.keepers[leader].name)
			s.keepers[leader].signal(syscall.SIGSTOP)
			frozenUntil := time.Now().Add(freezeTime)
			time.AfterFunc(time.Until(frozenUntil), func() {
				s.keepers[leader].signal(syscall.SIGCONT)
				s.note("%s goes on", s.keepers[leader].name)
			})
		}
		status, _, err := s.call(http.MethodDelete, s.seeds()[other], path, nil)
		s.note("operator: DELETE at %s: status %d, error %v", s.keepers[other].name, status, err)
		var acked time.Time
		for begun := time.Now(); acked.IsZero(); {
			status, _, err = s.call(http.MethodPost, s.seeds()[third], path, nil)
			s.note("operator: POST at %s: status %d, error %v", s.keepers[third].name, status, err)
			if err == nil && status/100 == 2 {
				acked = time.Now()
			} else if time.Since(begun) > contactTime {
				break
			}
		}
		if acked.IsZero() {
			s.note("the second evacuation was not acknowledged; the round shows nothing")
			time.Sleep(freezeTime)
			s.order(http.MethodDelete, path, nil)
			continue
		}
		// All machines are in touch contactTime after the end of the freeze.
		from := acked.Add(max(evacuationTime, freezeTime+contactTime))
		time.Sleep(time.Until(from) + 3*time.Second)
		runs := s.runsAfter(s.engines[0], from)
		s.note("%d requests reached the engine in bern-a later than %v after the acknowledgement", len(runs), from.Sub(acked))
		if len(runs) > 0 {
			s.breaks("round %d: %d requests reached the engine in the evacuated zone; %v and more after the acknowledgement, the first: %s",
				round+1, len(runs), from.Sub(acked), runs[0])
		}
		s.order(http.MethodDelete, path, nil)
		time.Sleep(time.Second)
	}
}
