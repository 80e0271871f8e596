package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// cases holds the cases by their number.
var cases = map[string]func(*site){
	"6": playCrash, "7": playUndoneEvacuation, "8": playLeavingEngine, "9": playSpoiltAnswers,
}

const streamEvents = 24

func streamRoute(service string) map[string]any {
	return map[string]any{
		"name": "r-2xp4zhp", "host": "hulo84.example", "pathPrefix": "/stream/", "kind": "streaming", "timeoutMs": 6000,
		"targetLatencyMs": 400, "priority": 1, "service": service, "maxAttempts": 2, "public": false, "sessionAffinity": true,
		"streamResumption": true, "gapTargetMs": 300, "allowedRegions": []string{},
	}
}

func modelService(name string) map[string]any {
	return map[string]any{
		"name": name, "healthCheckPath": "/health", "connectionLimit": 344, "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": 36.0,
		"engineKind": map[string]any{
			"slots": 16, "kvCapacityTokens": 1640000, "kvTokenBytes": 163840, "linkMbps": 400000.0, "stride": 6,
			"modelList": []any{map[string]any{"name": "daka510000", "pace": 1.0, "loadTimeS": 4.0, "warmupS": 0.3}},
			"sizeMb":    282000.0, "adapterCapacity": 8, "loadsPerS": 0.0, "step_ms": 6.73, "per_seq_ms": 0.0219, "context_per_k": 0.0068,
			"read_per_s": 30600.0, "pairs_per_m": 0.647, "chunk": 2048, "report_lag_ms": 200.0, "loads_at_once": 8, "delays": []any{},
			"usual": map[string]any{"prompt": 964, "answer": 119}, "layers": 16, "layer_mb": 4540.0, "act_bytes": 16384, "pipe_mbps": 0.0,
			"chunks": 48, "chunkBytes": 49152,
		},
	}
}

func streamRequest(entry string) request {
	return request{
		entry: entry, method: http.MethodPost, host: "hulo84.example", path: "/stream/2f", id: newID(), body: strings.Repeat("x", 600),
		deadline: 6 * time.Second, header: "X-Model: daka510000\r\n" + words["usage"] + ": 1460,144\r\n" + words["prompt"] + ": 5c1e07a2:40," + newID()[:8] + ":1420\r\n",
	}
}

// Shares of a model service of the site that a disruption may take: engines that
// crash or leave at once, and engines that garble, which are the first ones.
const (
	engineCount   = 14
	takenEngines  = 2
	garbling      = 7
	unframedShare = "0.05"
	streamCount   = 168
	// reuseTime is how long the address of an engine that has left is unused.
	reuseTime = 2 * time.Second
)

// startModelSite starts a site of model engines with a pause between the events of
// streams.
func (s *site) startModelSite(gap string) {
	s.startRoles()
	for n := range engineCount {
		s.startEngine(n, "huvo11a", true, "-model", "-unframed", unframedShare, "-events", "24", "-gap", gap)
	}
	s.order(http.MethodPut, words["configuration"], document(7, []any{streamRoute("huvo11a")}, []any{modelService("huvo11a")}))
	s.awaitEntries(func(entry string) bool {
		r := streamRequest(entry).send()
		n, exact := r.events()
		return r.status == http.StatusOK && r.err == nil && n == streamEvents && exact
	})
}

// wave sends streams at once while the first engines garble, calls disrupt for some of
// these when the streams run, and judges what the clients got.
func (s *site) wave(round int, disrupt func(e *engineProcess)) {
	for _, e := range s.engines[:garbling] {
		e.signal(syscall.SIGUSR1)
	}
	time.Sleep(50 * time.Millisecond)
	var wait sync.WaitGroup
	results := make([]result, streamCount)
	for i := range streamCount {
		wait.Add(1)
		go func() {
			defer wait.Done()
			results[i] = streamRequest(s.entry(i)).send()
		}()
	}
	time.Sleep(500 * time.Millisecond)
	for _, e := range s.engines[:garbling] {
		e.signal(syscall.SIGUSR2)
	}
	if s.trouble {
		for i := range takenEngines {
			disrupt(s.engines[(takenEngines*round+i)%garbling])
		}
	}
	wait.Wait()
	s.judgeStreams(results)
}

// startAgain starts the engines that a wave has taken, with new ids.
func (s *site) startAgain(round int) {
	for i := range takenEngines {
		e := s.engines[(takenEngines*round+i)%garbling]
		e.id = fmt.Sprintf("%.10s-%d", e.id, round)
		e.args[3] = e.id
		s.launch(e.process)
	}
}

// playLeavingEngine empties engines while they send streams, some of which have no
// length. The streams take 3.6 s; an engine serves for 2.3 s from the
// acknowledgement that it leaves.
func playLeavingEngine(s *site) {
	s.startModelSite("150ms")
	for round := range 8 {
		s.wave(round, func(e *engineProcess) {
			s.note("%s is asked to leave", e.id)
			e.signal(syscall.SIGTERM)
		})
		if s.trouble {
			time.Sleep(reuseTime)
			s.startAgain(round)
			time.Sleep(1500 * time.Millisecond)
		}
	}
}

// judgeStreams checks that no stream ends as complete before its last piece.
func (s *site) judgeStreams(results []result) {
	whole := 0
	for _, r := range results {
		n, exact := r.events()
		s.note("stream %s: status %d, %d events, signature %s, error %v", r.id, r.status, n, r.header.Get(words["signature"]), r.err)
		switch {
		case r.status == http.StatusOK && !exact:
			s.breaks("stream %s holds something other than its events in order", r.id)
		case r.status == http.StatusOK && r.err == nil && n < streamEvents:
			s.breaks("stream %s ended as complete after %d of %d events", r.id, n, streamEvents)
		case r.status == http.StatusOK && r.err == nil:
			whole++
		}
	}
	s.note("%d of %d streams are whole", whole, len(results))
	if whole == 0 {
		s.fail("no stream was served")
	}
}
