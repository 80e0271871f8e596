package dispatch

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/site/allotment"
	"egretproxy/internal/site/siteclient"
)

// heavyDay is many entries with uneven traffic before engines whose places are
// nearly all taken.
type heavyDay struct {
	entries, engines, slots int
	// load is the part of the engines' capacity that callers ask for.
	load    float64
	service time.Duration
	maxWait time.Duration
	// allot means that agents allot parts and deal places. Otherwise entries
	// split what each report shows.
	allot bool
	seed  uint64
}

type heavyResult struct {
	offered, served int
	// startedLate counts the requests that began more than maxWait after they
	// came, because the engine itself queued them.
	startedLate int
	waited      time.Duration
}

// modelEngine is an engine of the model: requests beyond the slots wait for a slot.
type modelEngine struct {
	active, queued int
	free           chan struct{}
}

func (h *heavyDay) view() *siteclient.View {
	v := site(h.engines, h.entries)
	v.Plan.Services["llm"].ColdPerSecond = 0
	v.Plan.Services["llm"].Engine.Slots = h.slots
	for k, t := range v.Targets {
		t.Slots = h.slots
		v.Targets[k] = t
	}
	return v
}

// play plays the day for a length in the test's synctest bubble.
func (h *heavyDay) play(t *testing.T, length time.Duration) heavyResult {
	var mu sync.Mutex
	var out heavyResult
	random := rand.New(rand.NewPCG(h.seed, 7))
	engines := map[id.Target]*modelEngine{}
	shares := map[id.Target]*allotment.Allotter{}
	var all []*Dispatcher
	for range h.entries {
		d := New(settings())
		d.Update(h.view())
		all = append(all, d)
	}
	for i := range h.engines {
		k := id.Target(fmt.Sprintf("e%d", i))
		engines[k] = &modelEngine{free: make(chan struct{}, h.slots)}
		shares[k] = &allotment.Allotter{Target: string(k), MaxSharers: 12}
	}
	began := time.Now()
	const interval, warmUp = 50 * time.Millisecond, 6 * time.Second
	go func() {
		for n := 0; time.Since(began) < warmUp+length; n++ {
			if n%20 == 0 {
				for i, d := range all {
					for _, c := range d.Claims() {
						shares[c.Target].Claim(time.Now(), addressOf(i), c.Claim)
					}
				}
			}
			for k, e := range engines {
				mu.Lock()
				l := Load{Active: e.active, Queued: e.queued, Weights: 1}
				mu.Unlock()
				allotted := h.allot && shares[k].Allot(time.Now())
				dealt := shares[k].Deal(max(EngineLimit(h.slots)-l.Active-l.Queued, 0))
				for i, d := range all {
					if allotted {
						l.Share, l.ShareUntil = shares[k].Of(addressOf(i)), time.Now().Add(allotment.Lifetime)
						l.Places, l.PlacesValid = dealt[addressOf(i)], interval+10*time.Millisecond
					}
					d.ReportLoad(k, l)
				}
			}
			time.Sleep(interval)
		}
	}()
	var wg sync.WaitGroup
	rate := h.load * float64(h.engines*h.slots) / h.service.Seconds()
	for time.Since(began) < warmUp+length {
		// Each entry has more callers than the one before.
		entry := all[int(float64(h.entries)*max(random.Float64(), random.Float64()))]
		counted := time.Since(began) > warmUp
		work := time.Duration((0.5 + random.Float64()) * float64(h.service))
		wg.Go(func() {
			came := time.Now()
			g, err := entry.Acquire(t.Context(), &Request{Service: "llm", MaxWait: h.maxWait})
			mu.Lock()
			if counted {
				out.offered++
			}
			if err != nil {
				mu.Unlock()
				return
			}
			e := engines[g.Target]
			e.queued++
			mu.Unlock()
			e.free <- struct{}{}
			mu.Lock()
			e.queued--
			e.active++
			if counted {
				out.served++
				out.waited += time.Since(came)
				if time.Since(came) > h.maxWait {
					out.startedLate++
				}
			}
			mu.Unlock()
			time.Sleep(work)
			mu.Lock()
			e.active--
			mu.Unlock()
			<-e.free
			g.End(Served)
		})
		time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / rate))
	}
	wg.Wait()
	return out
}

// TestNearlyFullEnginesAtUnevenEntries plays engines whose places are nearly all
// taken, with uneven traffic over many entries. Places that are dealt one by one
// must serve more requests in time than parts of the free places that each entry
// draws for itself: of those some are taken twice and some are left. The order of
// requests that come at the same instant is up to the scheduler, so that the sums of
// several plays are compared.
func TestNearlyFullEnginesAtUnevenEntries(t *testing.T) {
	const length, seeds = 15 * time.Second, 3
	for _, load := range []float64{0.8, 0.97, 1.2} {
		t.Run(fmt.Sprintf("Load=%.2f", load), func(t *testing.T) {
			var inTime [2]float64
			for i, allot := range []bool{false, true} {
				var inTimeCount, offered int
				for seed := range uint64(seeds) {
					synctest.Test(t, func(t *testing.T) {
						h := &heavyDay{entries: 25, engines: 40, slots: 8, load: load, service: time.Second, maxWait: 250 * time.Millisecond, allot: allot, seed: seed + 1}
						r := h.play(t, length)
						inTimeCount += r.served - r.startedLate
						offered += r.offered
						t.Logf("allotted %t: %d offered, %d served, %d late, mean wait %s", allot, r.offered, r.served, r.startedLate, r.waited/time.Duration(max(r.served, 1)))
					})
				}
				inTime[i] = float64(inTimeCount) / float64(offered)
			}
			if inTime[1] < inTime[0]-0.005 {
				t.Errorf("%.3f in time with dealt places, %.3f with drawn ones", inTime[1], inTime[0])
			}
		})
	}
}
