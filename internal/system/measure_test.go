package system_test

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"egretproxy/internal/control/lease"
	"egretproxy/internal/control/ledger"
	"egretproxy/internal/control/view"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/wire/api"
	"egretproxy/internal/wire/frame"
	"egretproxy/internal/wire/header"
	"egretproxy/internal/wire/keepers"
)

var (
	measure = flag.Bool("measure", false, "run the measurements")
	_       = flag.String("out", "", "folder for results, which this package does not write")
)

// probe sends plain requests through an entry at a steady rate and counts
// what is not answered.
func (f *fleet) probe(during func()) (sent, lost int, reasons map[string]int) {
	reasons = map[string]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	stop := make(chan struct{})
	go func() {
		during()
		close(stop)
	}()
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			wg.Wait()
			return sent, lost, reasons
		case <-ticker.C:
		}
		sent++
		wg.Add(1)
		go func() {
			defer wg.Done()
			r, _ := http.NewRequest(http.MethodGet, "http://"+f.address["entry-0"]+"/inventory/ropes", nil)
			r.Header.Set("Authorization", "Bearer key-of-huts")
			w, err := http.DefaultClient.Do(r)
			if err == nil {
				_ = w.Body.Close()
				if w.StatusCode == http.StatusOK {
					return
				}
			}
			mu.Lock()
			defer mu.Unlock()
			lost++
			if err == nil {
				reasons[w.Header.Get(header.Reason)]++
			}
		}()
	}
}

// TestMeasureFaultsOfKeepers counts the requests lost while keepers fail. The
// entry waits at most a second for a target, so that a loss shows.
func TestMeasureFaultsOfKeepers(t *testing.T) {
	if !*measure {
		t.Log("a measurement, not run: see make measure")
		return
	}
	faults := []struct {
		name string
		do   func(f *fleet)
	}{
		{"a follower is killed", func(f *fleet) {
			for _, k := range []string{"keeper-0", "keeper-1", "keeper-2"} {
				if k != f.leader() {
					f.kill(k)
					return
				}
			}
		}},
		{"the leader is killed", func(f *fleet) { f.kill(f.leader()) }},
		{"the leader stands still", func(f *fleet) {
			l := f.leader()
			f.signal(l, syscall.SIGSTOP)
			time.Sleep(5 * time.Second)
			f.signal(l, syscall.SIGCONT)
		}},
		{"all keepers are restarted", func(f *fleet) {
			for i := range 3 {
				f.kill(fmt.Sprintf("keeper-%d", i))
			}
			for i := range 3 {
				f.restart(fmt.Sprintf("keeper-%d", i))
			}
		}},
		{"two keepers are gone for 10 s", func(f *fleet) {
			f.kill("keeper-0")
			f.kill("keeper-1")
			time.Sleep(10 * time.Second)
			f.restart("keeper-0")
			f.restart("keeper-1")
		}},
	}
	for _, c := range faults {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, 3)
			f.addOrigin()
			f.addService("inventory-0", "d0")
			f.addService("inventory-1", "d1")
			f.addEntry("entry-0")
			f.serving(2)
			time.Sleep(time.Second)
			sent, lost, reasons := f.probe(func() {
				c.do(f)
				time.Sleep(4 * time.Second)
			})
			t.Logf("%s: %d of %d requests lost %v", c.name, lost, sent, reasons)
		})
	}
}

// TestMeasureManyAgents lets agents and entries start within the same second
// and renew for ten seconds, and reads what that costs three keepers.
func TestMeasureManyAgents(t *testing.T) {
	if !*measure {
		t.Log("a measurement, not run: see make measure")
		return
	}
	for _, n := range []int{100, 300, 700, 1300} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := newFleet(t, 3)
			f.until("a leader is there", func() bool { return f.leader() != "" })
			s := &swarmOfAgents{f: f, n: n, entries: n * 370 / 1300}
			s.run(t)
		})
	}
}

// swarmOfAgents is the control traffic of many processes.
type swarmOfAgents struct {
	f          *fleet
	n, entries int

	mu       sync.Mutex
	announce []time.Duration
	renew    []time.Duration
	failed   int
	sent     atomic.Int64
	received atomic.Int64
}

func (s *swarmOfAgents) run(t *testing.T) {
	cpu := s.total("process_cpu_seconds_total")
	started := time.Now()
	var wg sync.WaitGroup
	for i := range s.n + s.entries {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.one(i)
		}()
	}
	wg.Wait()
	elapsed := time.Since(started).Seconds()
	leader := s.f.counter(s.f.leader(), "process_cpu_seconds_total")
	processes := float64(s.n + s.entries)
	t.Logf("agents=%d entries=%d: announced 50th %v 99th %v, renewed 50th %v 99th %v, failed %d, "+
		"keepers %.1f%% of a core together, busiest process total %.2f s, resident %.1f MB together, control a process %.0f B/s sent %.0f B/s received before TCP",
		s.n, s.entries, at(s.announce, 50), at(s.announce, 99), at(s.renew, 50), at(s.renew, 99), s.failed,
		100*(s.total("process_cpu_seconds_total")-cpu)/elapsed, leader, s.total("process_resident_memory_bytes")/1e6,
		float64(s.sent.Load())/elapsed/processes, float64(s.received.Load())/elapsed/processes)
}

func (s *swarmOfAgents) total(metric string) float64 {
	sum := 0.0
	for i := range s.f.keepers {
		sum += s.f.counter(fmt.Sprintf("keeper-%d", i), metric+" ")
	}
	return sum
}

const renewals = 20

// one is the control traffic of one process.
func (s *swarmOfAgents) one(i int) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	c := keepers.New(s.f.keepers, nil, frame.Codec{Sent: &s.sent, Received: &s.received}, i)
	defer c.Close()
	time.Sleep(time.Duration(i%300) * time.Millisecond)
	in := api.RenewRequest{Subscriber: api.Subscriber{Name: fmt.Sprintf("entry-%04d", i), Role: "Entry"}}
	if i < s.n {
		k := id.Target(fmt.Sprintf("engine-%04d", i))
		e, err := ledger.Encode("AnnounceTargets", &ledger.AnnounceTargets{Targets: []view.Target{{
			ID: k, Kind: view.TargetEngine, Domain: id.Domain(fmt.Sprint(i % 8)), Region: id.Region(fmt.Sprint(i % 3)),
			Address: fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250), Start: "0123456789ab", Slots: 16,
		}}})
		if err != nil {
			return
		}
		e.Request = id.NewRequest()
		began := time.Now()
		a, err := c.Submit(ctx, e)
		s.note(&s.announce, time.Since(began), err)
		in = api.RenewRequest{Subscriber: api.Subscriber{
			Name: string(k), Role: "Agent", Target: k, Session: id.Fence(a.Version),
			Report: &api.Report{Phase: view.PhaseEmpty, Start: "0123456789ab", Limit: 16},
		}}
	}
	for range renewals {
		var out api.RenewResponse
		began := time.Now()
		err := c.Call(ctx, api.MethodRenew, in, &out)
		s.note(&s.renew, time.Since(began), err)
		if err == nil {
			in.Have = out.Delta.To
		}
		time.Sleep(lease.RenewInterval)
	}
}

func (s *swarmOfAgents) note(list *[]time.Duration, d time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.failed++
		return
	}
	*list = append(*list, d)
}

func at(list []time.Duration, percent int) time.Duration {
	slices.Sort(list)
	if len(list) == 0 {
		return 0
	}
	return list[len(list)*percent/100].Round(100 * time.Microsecond)
}
