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
	_       = flag.String("out", "", "directory for results; unused here, accepted because make measure passes it to every package")
)

// countLosses sends requests to a plain service through entry-0, one every
// 5 ms, until during returns. It returns the number of requests sent, the
// number without a 200 response, and the reasons named in the other responses.
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
			req, _ := http.NewRequest(http.MethodGet, "http://"+f.addresses["entry-0"]+"/inventory/ropes", nil)
			req.Header.Set("Authorization", "Bearer key-of-huts")
			resp, err := http.DefaultClient.Do(req)
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					return
				}
			}
			mu.Lock()
			defer mu.Unlock()
			lost++
			if err == nil {
				reasons[resp.Header.Get(header.Reason)]++
			}
		}()
	}
}

// TestMeasureFaultsOfKeepers counts the requests lost while keepers fail. The
// entry uses the default Entry.MaxWait of 5 s: a request counts as lost only if no
// target is available for that long, or if it fails otherwise.
func TestMeasureFaultsOfKeepers(t *testing.T) {
	if !*measure {
		t.Log("not run without -measure; use make measure")
		return
	}
	faults := []struct {
		name string
		do   func(f *fleet)
	}{
		{"a follower is killed", func(f *fleet) {
			for _, keeper := range []string{"keeper-0", "keeper-1", "keeper-2"} {
				if keeper != f.leader() {
					f.kill(keeper)
					return
				}
			}
		}},
		{"the leader is killed", func(f *fleet) { f.kill(f.leader()) }},
		{"the leader is suspended for 5 s", func(f *fleet) {
			leader := f.leader()
			f.signal(leader, syscall.SIGSTOP)
			time.Sleep(5 * time.Second)
			f.signal(leader, syscall.SIGCONT)
		}},
		{"all keepers are restarted", func(f *fleet) {
			for i := range 3 {
				f.kill(fmt.Sprintf("keeper-%d", i))
			}
			for i := range 3 {
				f.restart(fmt.Sprintf("keeper-%d", i))
			}
		}},
		{"two keepers are down for 10 s", func(f *fleet) {
			f.kill("keeper-0")
			f.kill("keeper-1")
			time.Sleep(10 * time.Second)
			f.restart("keeper-0")
			f.restart("keeper-1")
		}},
	}
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			f := newFleet(t, 3)
			f.addOrigin()
			f.addService("inventory-0", "d0")
			f.addService("inventory-1", "d1")
			f.addEntry("entry-0")
			f.waitServing(2)
			time.Sleep(time.Second)
			sent, lost, reasons := f.countLosses(func() {
				fault.do(f)
				time.Sleep(4 * time.Second)
			})
			t.Logf("%s: %d of %d requests lost %v", fault.name, lost, sent, reasons)
		})
	}
}

// TestMeasureManyAgents generates the control traffic of many agents and entries
// that start within one second and renew their leases for ten seconds, and
// reports the load on three keepers.
func TestMeasureManyAgents(t *testing.T) {
	if !*measure {
		t.Log("not run without -measure; use make measure")
		return
	}
	for _, agents := range []int{100, 300, 700, 1300} {
		t.Run(fmt.Sprint(agents), func(t *testing.T) {
			f := newFleet(t, 3)
			f.waitUntil("a leader is elected", func() bool { return f.leader() != "" })
			load := &controlLoad{f: f, agents: agents, entries: agents * 370 / 1300}
			load.run(t)
		})
	}
}

// controlLoad generates the control traffic of many agents and entries. mu
// guards announceTimes, renewTimes and failed.
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

func (l *controlLoad) run(t *testing.T) {
	cpuBefore := l.sumOverKeepers("process_cpu_seconds_total")
	started := time.Now()
	var wg sync.WaitGroup
	for i := range l.agents + l.entries {
		wg.Add(1)
		go func() {
			defer wg.Done()
			l.runProcess(i)
		}()
	}
	wg.Wait()
	elapsed := time.Since(started).Seconds()
	leaderCPU := l.f.sumMetric(l.f.leader(), "process_cpu_seconds_total")
	processes := float64(l.agents + l.entries)
	t.Logf("agents=%d entries=%d: announce p50 %v p99 %v, renew p50 %v p99 %v, failed %d, "+
		"all keepers %.1f%% of a core, leader %.2f s of CPU time, all keepers %.1f MB resident, control traffic per process %.0f B/s sent %.0f B/s received without TCP overhead",
		l.agents, l.entries, percentile(l.announceTimes, 50), percentile(l.announceTimes, 99), percentile(l.renewTimes, 50), percentile(l.renewTimes, 99), l.failed,
		100*(l.sumOverKeepers("process_cpu_seconds_total")-cpuBefore)/elapsed, leaderCPU, l.sumOverKeepers("process_resident_memory_bytes")/1e6,
		float64(l.bytesSent.Load())/elapsed/processes, float64(l.bytesReceived.Load())/elapsed/processes)
}

// sumOverKeepers returns the sum of an unlabelled metric over all keepers.
func (l *controlLoad) sumOverKeepers(metric string) float64 {
	sum := 0.0
	for i := range l.f.keepers {
		sum += l.f.sumMetric(fmt.Sprintf("keeper-%d", i), metric+" ")
	}
	return sum
}

const renewalsPerProcess = 20

// runProcess generates the control traffic of process i: an agent if i is less
// than l.agents, an entry otherwise.
func (l *controlLoad) runProcess(i int) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	client := keepers.New(l.f.keepers, nil, frame.Codec{Sent: &l.bytesSent, Received: &l.bytesReceived}, i)
	defer client.Close()
	time.Sleep(time.Duration(i%300) * time.Millisecond)
	request := api.RenewRequest{Subscriber: api.Subscriber{Name: fmt.Sprintf("entry-%04d", i), Role: "Entry"}}
	if i < l.agents {
		target := id.Target(fmt.Sprintf("engine-%04d", i))
		envelope, err := ledger.Encode("AnnounceTargets", &ledger.AnnounceTargets{Targets: []view.Target{{
			ID: target, Kind: view.TargetEngine, Domain: id.Domain(fmt.Sprint(i % 8)), Region: id.Region(fmt.Sprint(i % 3)),
			Address: fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250), Start: "0123456789ab", Slots: 16,
		}}})
		if err != nil {
			return
		}
		envelope.Request = id.NewRequest()
		start := time.Now()
		answer, err := client.Submit(ctx, envelope)
		l.record(&l.announceTimes, time.Since(start), err)
		request = api.RenewRequest{Subscriber: api.Subscriber{
			Name: string(target), Role: "Agent", Target: target, Session: id.Fence(answer.Version),
			Report: &api.Report{Phase: view.PhaseEmpty, Start: "0123456789ab", Limit: 16},
		}}
	}
	for range renewalsPerProcess {
		var response api.RenewResponse
		start := time.Now()
		err := client.Call(ctx, api.MethodRenew, request, &response)
		l.record(&l.renewTimes, time.Since(start), err)
		if err == nil {
			request.Have = response.Delta.To
		}
		time.Sleep(lease.RenewInterval)
	}
}

// record appends d to durations, or counts a failure if err is not nil.
func (l *controlLoad) record(durations *[]time.Duration, d time.Duration, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.failed++
		return
	}
	*durations = append(*durations, d)
}

// percentile returns the given percentile of durations, rounded to 0.1 ms, or 0
// if there are none. It sorts durations.
func percentile(durations []time.Duration, percentage int) time.Duration {
	slices.Sort(durations)
	if len(durations) == 0 {
		return 0
	}
	return durations[len(durations)*percentage/100].Round(100 * time.Microsecond)
}
