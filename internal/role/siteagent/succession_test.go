package siteagent

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/boottime"
	"egretproxy/internal/kernel/metrics"
	"egretproxy/internal/site/siteclient"
	"egretproxy/internal/weights/relay"
)

const (
	testWeightsDue = 7300 * time.Millisecond
	engineLoadTime = 300 * time.Millisecond
)

// loadingEngine holds version 1 until a load is ordered.
type loadingEngine struct {
	*stage
	began time.Time

	mu sync.Mutex
	// loads are the versions loaded, with the time since began.
	loads map[int64]time.Duration
	held  int64
}

func (e *loadingEngine) Report(context.Context) (Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Report{Weights: e.held, Sequence: int64(len(e.loads))}, nil
}

func (e *loadingEngine) Load(_ context.Context, o Order) error {
	time.Sleep(engineLoadTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.held, e.loads[o.Version] = o.Version, time.Since(e.began)
	return nil
}

func (e *loadingEngine) begin() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.began = time.Now()
}

// name adds a version that is named now to the view.
func (site *testSite) name(version int64) {
	v := *site.View()
	v.Weights = append(v.Weights[:len(v.Weights):len(v.Weights)], siteclient.WeightsVersion{Model: "m", Version: version, Since: boottime.Now()})
	site.live.Store(&v)
}

// runAgents runs an agent beside each engine until the context ends.
func (site *linkedSite) runAgents(ctx context.Context, stages []*stage) []*loadingEngine {
	var engines []*loadingEngine
	for _, target := range site.view.Targets {
		e := &loadingEngine{stage: stages[len(engines)], loads: map[int64]time.Duration{}, held: 1}
		engines = append(engines, e)
		a := &Agent{
			Settings: Settings{Service: "llm", Address: target.Address, Domain: target.Domain, Region: id.Region(target.Domain), WeightsDue: testWeightsDue},
			Views:    site, Relay: site.relays[target.Address], Metrics: metrics.New("Test"), firstSeen: map[relay.Bundle]time.Time{}, Engine: e,
		}
		a.Relay.Stage = e.stage
		go a.reconcileLoop(ctx)
		go func() {
			for ctx.Err() == nil {
				a.recordReport(e.Report(ctx))
				time.Sleep(reportInterval)
			}
		}()
	}
	return engines
}

// addEngine fetches version 1 for an engine that was added, so that mirrors hold it.
func (site *linkedSite) addEngine(t *testing.T) {
	t.Helper()
	if err := site.relays["10.0.0.0:80"].FetchBundle(t.Context(), relay.Bundle{Model: "m", Version: 1}); err != nil {
		t.Fatal(err)
	}
}

// outage takes the origin out of service for a time.
func (site *testSite) outage(d time.Duration) {
	site.mu.Lock()
	defer site.mu.Unlock()
	site.originDownUntil = time.Now().Add(d)
}

func (site *testSite) setCut(d id.Domain) {
	site.mu.Lock()
	defer site.mu.Unlock()
	site.cut = d
}

// TestHoldsSupersededVersionServesWhileSourceIsOut names a version shortly after its
// predecessor, and takes the origin out of service soon after, until the weights of
// before are due. All engines must load the predecessor before that, and the
// newer version as soon as links can carry it. In further cases the mirrors have only a
// part of the predecessor when the newer version is named, the origin comes back for a
// moment, or one region is cut off meanwhile.
func TestHoldsSupersededVersionServesWhileSourceIsOut(t *testing.T) {
	const back = 8500 * time.Millisecond
	for _, c := range []struct {
		name string
		// named is when the newer version is named, out when the origin fails.
		named, out time.Duration
		// during runs while the origin is out.
		during func(site *testSite)
	}{
		{"SourceReturns", 2 * time.Second, 2500 * time.Millisecond, func(*testSite) {}},
		{"MirrorsHoldPart", 600 * time.Millisecond, 1500 * time.Millisecond, func(*testSite) {}},
		{"SourceReturnsAndFails", 2 * time.Second, 2500 * time.Millisecond, func(site *testSite) {
			time.Sleep(2 * time.Second)
			site.outage(0)
			time.Sleep(300 * time.Millisecond)
			site.outage(3700 * time.Millisecond)
		}},
		{"RegionIsCutOff", 2 * time.Second, 2500 * time.Millisecond, func(site *testSite) {
			site.setCut("d2")
			time.Sleep(3 * time.Second)
			site.setCut("")
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				site, stages := newLinkedSite(ctx, 4, 2)
				site.addEngine(t)
				engines := site.runAgents(ctx, stages)
				time.Sleep(predecessorTime)
				began := time.Now()
				for _, e := range engines {
					e.begin()
				}
				site.name(2)
				time.Sleep(c.named)
				site.name(3)
				time.Sleep(c.out - c.named)
				site.outage(time.Until(began.Add(back)))
				c.during(site.testSite)
				time.Sleep(time.Until(began.Add(back + 6*time.Second)))
				cancel()
				time.Sleep(loadTimeout + time.Second)
				first := time.Hour
				for i, e := range engines {
					older, newer := e.loads[2], e.loads[3]
					if older == 0 || older > testWeightsDue+drainNotice+drainTimeout+engineLoadTime {
						t.Errorf("engine %d has version 2 after %s", i, older)
					}
					if newer == 0 {
						t.Errorf("engine %d has no version 3", i)
						continue
					}
					first = min(first, newer)
				}
				copySeconds := pieces * pieceMbit * (1/float64(originMbps) + 1/float64(regionMbps) + 1/engineMbps)
				inTurn := time.Duration(copySeconds * float64(time.Second))
				if bound := back + inTurn + drainNotice + engineLoadTime; first > bound {
					t.Errorf("the first engine has version 3 after %s, want %s", first, bound)
				}
				t.Logf("the first engine has version 3 %s after the origin is back", first-back)
			})
		})
	}
}

// TestSupersededVersionIsNotLoadedInCalm names a version two seconds after its
// predecessor while the origin works. Each engine must load the newer one only, before
// what it holds is due.
func TestSupersededVersionIsNotLoadedInCalm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		site, stages := newLinkedSite(ctx, 4, 2)
		engines := site.runAgents(ctx, stages)
		time.Sleep(predecessorTime)
		for _, e := range engines {
			e.begin()
		}
		site.name(2)
		time.Sleep(2 * time.Second)
		site.name(3)
		time.Sleep(10 * time.Second)
		cancel()
		time.Sleep(loadTimeout + time.Second)
		for i, e := range engines {
			if older := e.loads[2]; older != 0 {
				t.Errorf("engine %d has loaded version 2 after %s", i, older)
			}
			if newer := e.loads[3]; newer == 0 || newer > testWeightsDue+drainNotice+drainTimeout+engineLoadTime {
				t.Errorf("engine %d has version 3 after %s", i, newer)
			}
		}
	})
}
