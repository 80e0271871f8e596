package system_test

import (
	"flag"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"egretproxy/internal/wire/header"
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
