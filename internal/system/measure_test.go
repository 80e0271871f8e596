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

// countLosses sends plain requests through an entry at a steady rate and counts
// what is not answered.
func (f *fleet) countLosses(during func()) (sent, lost int, reasons map[string]int) {
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
			r, _ := http.NewRequest(http.MethodGet, "http://"+f.addresses["entry-0"]+"/inventory/ropes", nil)
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
			f.waitServing(2)
			time.Sleep(time.Second)
			sent, lost, reasons := f.countLosses(func() {
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
			f.waitUntil("a leader is there", func() bool { return f.leader() != "" })
			s := &controlLoad{f: f, agents: n, entries: n * 370 / 1300}
			s.run(t)
		})
	}
}

// controlLoad is the control traffic of many processes.
type controlLoad struct {
	f               *fleet
	agents, entries int

	mu            sync.Mutex
	announceTimes []time.Duration
	renewTimes    []time.Duration
	failed        int
	bytesSent     atomic.Int64
	bytesReceived atomic.Int64
}

func (s *controlLoad) run(t *testing.T) {
	cpu := s.sumOverKeepers("process_cpu_seconds_total")
	started := time.Now()
	var wg sync.WaitGroup
	for i := range s.agents + s.entries {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.runProcess(i)
		}()
	}
	wg.Wait()
	elapsed := time.Since(started).Seconds()
	leader := s.f.sumMetric(s.f.leader(), "process_cpu_seconds_total")
	processes := float64(s.agents + s.entries)
	t.Logf("agents=%d entries=%d: announced 50th %v 99th %v, renewed 50th %v 99th %v, failed %d, "+
		"keepers %.1f%% of a core together, busiest process total %.2f s, resident %.1f MB together, control a process %.0f B/s sent %.0f B/s received before TCP",
		s.agents, s.entries, percentile(s.announceTimes, 50), percentile(s.announceTimes, 99), percentile(s.renewTimes, 50), percentile(s.renewTimes, 99), s.failed,
		100*(s.sumOverKeepers("process_cpu_seconds_total")-cpu)/elapsed, leader, s.sumOverKeepers("process_resident_memory_bytes")/1e6,
		float64(s.bytesSent.Load())/elapsed/processes, float64(s.bytesReceived.Load())/elapsed/processes)
}

func (s *controlLoad) sumOverKeepers(metric string) float64 {
	sum := 0.0
	for i := range s.f.keepers {
		sum += s.f.sumMetric(fmt.Sprintf("keeper-%d", i), metric+" ")
	}
	return sum
}

const renewalsPerProcess = 20

// runProcess is the control traffic of runProcess process.
func (s *controlLoad) runProcess(i int) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	c := keepers.New(s.f.keepers, nil, frame.Codec{Sent: &s.bytesSent, Received: &s.bytesReceived}, i)
	defer c.Close()
	time.Sleep(time.Duration(i%300) * time.Millisecond)
	in := api.RenewRequest{Subscriber: api.Subscriber{Name: fmt.Sprintf("entry-%04d", i), Role: "Entry"}}
	if i < s.agents {
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
		s.record(&s.announceTimes, time.Since(began), err)
		in = api.RenewRequest{Subscriber: api.Subscriber{
			Name: string(k), Role: "Agent", Target: k, Session: id.Fence(a.Version),
			Report: &api.Report{Phase: view.PhaseEmpty, Start: "0123456789ab", Limit: 16},
		}}
	}
	for range renewalsPerProcess {
		var out api.RenewResponse
		began := time.Now()
		err := c.Call(ctx, api.MethodRenew, in, &out)
		s.record(&s.renewTimes, time.Since(began), err)
		if err == nil {
			in.Have = out.Delta.To
		}
		time.Sleep(lease.RenewInterval)
	}
}

func (s *controlLoad) record(list *[]time.Duration, d time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.failed++
		return
	}
	*list = append(*list, d)
}

func percentile(list []time.Duration, percent int) time.Duration {
	slices.Sort(list)
	if len(list) == 0 {
		return 0
	}
	return list[len(list)*percent/100].Round(100 * time.Microsecond)
}
