package siteagent

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/boottime"
	"egretproxy/internal/kernel/metrics"
	"egretproxy/internal/site/siteclient"
	"egretproxy/internal/weights/mirror"
	"egretproxy/internal/weights/relay"
)

// startMirrors adds a keeper with a mirror to each of the first domains. The
// mirrors run until stop is called.
func (site *testSite) startMirrors(t *testing.T, domains int) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	site.view.Keepers = map[string]id.Region{}
	regions := map[id.Domain]id.Region{}
	var mirrors []*mirror.Mirror
	for d := range domains {
		domain := id.Domain(fmt.Sprintf("d%d", d))
		regions[domain] = id.Region(domain)
		address := fmt.Sprintf("10.%d.1.0:70", d)
		site.view.Keepers[address] = regions[domain]
		site.domain[address] = domain
		mirrors = append(mirrors, site.addMirror(address, regions, &relay.Relay{Origin: site, Peers: peers{site, address}}))
	}
	// Start the mirrors only after the site is complete, since they read it.
	for _, m := range mirrors {
		go func() { _ = m.Run(ctx) }()
	}
	synctest.Wait()
	return func() { cancel(); synctest.Wait() }
}

// addMirror adds a mirror to the site, whose relay has an origin and peers.
func (site *testSite) addMirror(address string, regions map[id.Domain]id.Region, r *relay.Relay) *mirror.Mirror {
	m := &mirror.Mirror{
		Address: address, Region: site.view.Keepers[address], Regions: regions, Views: fixedView{site.view},
		Relay: r, Metrics: metrics.New("Test"),
	}
	r.Stage, r.Mirror = mirror.Stage(), true
	r.Routes, r.Priority, r.OnMissing = m.Routes, m.Priority, m.Request
	site.relays[address] = r
	return m
}

func (site *testSite) publish(version int64) {
	site.view.Weights = append(site.view.Weights, siteclient.WeightsVersion{Model: "m", Version: version, Since: boottime.Now()})
}

// TestHoldsMirrorsReplaceEngineUploads publishes a version at a site with
// mirrors. Agents must not send pieces to each other, since the engines' links
// are busy with responses. The origin must serve each piece once, and each
// piece must enter each further region once.
func TestHoldsMirrorsReplaceEngineUploads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site, stages := newTestSite(3, 8)
		site.publish(2)
		engines := len(site.relays)
		defer site.startMirrors(t, 3)()
		took := site.stageAll(t)
		checkStages(t, stages)
		sent := 0
		for address, n := range site.uploads {
			if site.view.Keepers[address] == "" {
				sent += n
			}
		}
		if sent != 0 || site.originPieces != pieces || site.crossDomainPieces != 2*pieces {
			t.Errorf("%d engines sent %d pieces; %d pieces from the origin, %d between domains", engines, sent, site.originPieces, site.crossDomainPieces)
		}
		if took > 2500*time.Millisecond {
			t.Errorf("took %s", took)
		}
	})
}

// TestRegionWithoutMirrorUsesOthers leaves one region without a mirror. Its
// engines must fetch from the mirrors of other regions and share the pieces
// among themselves. The origin may serve at most a quarter more than one copy.
func TestRegionWithoutMirrorUsesOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site, stages := newTestSite(3, 4)
		site.publish(2)
		defer site.startMirrors(t, 2)()
		took := site.stageAll(t)
		checkStages(t, stages)
		if site.originPieces > pieces+pieces/4 {
			t.Errorf("%d pieces from the origin", site.originPieces)
		}
		if took > 5*time.Second {
			t.Errorf("took %s", took)
		}
	})
}

// TestHoldsObtainableVersionIsUsed publishes a version that the origin doesn't
// have while its predecessor is being distributed. Agents must continue with
// the predecessor.
func TestHoldsObtainableVersionIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site, _ := newTestSite(1, 1)
		site.missing[3] = true
		site.publish(2)
		site.publish(3)
		agent := &Agent{
			Settings: Settings{Service: "llm", Address: "10.0.0.0:80", Domain: "d0"}, Views: fixedView{site.view},
			Relay: site.relays["10.0.0.0:80"], Metrics: metrics.New("Test"), firstSeen: map[relay.Bundle]time.Time{}, busy: map[relay.Bundle]float64{},
		}
		candidates := agent.candidates(1)
		if len(candidates) != 2 || candidates[0].Version != 3 {
			t.Fatalf("candidates %v", candidates)
		}
		if b, ok := agent.firstAvailable(t.Context(), candidates); !ok || b.Version != 2 {
			t.Errorf("chose version %d, %v", b.Version, ok)
		}
		site.missing[3] = false
		if b, ok := agent.firstAvailable(t.Context(), candidates); !ok || b.Version != 3 {
			t.Errorf("chose version %d, %v once the origin has version 3", b.Version, ok)
		}
	})
}

// recordingEngine reports an idle engine and records the loads ordered.
type recordingEngine struct {
	*stage
	loaded chan relay.Bundle
}

func (e *recordingEngine) Report(context.Context) (Report, error) { return Report{}, nil }

func (e *recordingEngine) Load(_ context.Context, o Order) error {
	e.loaded <- o.Bundle
	return nil
}

// TestHoldsNewEngineFindsWeightsReady adds an engine to a busy site. Its
// weights must be fetched while it starts, so that it can load at once.
func TestHoldsNewEngineFindsWeightsReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site, stages := newTestSite(1, 2)
		site.publish(2)
		ctx, cancel := context.WithCancel(t.Context())
		defer site.startMirrors(t, 1)()
		engine := &recordingEngine{stages[0], make(chan relay.Bundle, 1)}
		agent := &Agent{
			Settings: Settings{Service: "llm", Address: "10.0.0.0:80", Domain: "d0", Region: "d0"}, Views: fixedView{site.view},
			Relay: site.relays["10.0.0.0:80"], Metrics: metrics.New("Test"), firstSeen: map[relay.Bundle]time.Time{}, busy: map[relay.Bundle]float64{}, Engine: engine,
		}
		go agent.reconcileLoop(ctx)
		time.Sleep(3 * time.Second)
		up := time.Now()
		go func() {
			for ctx.Err() == nil {
				agent.recordReport(Report{}, nil)
				time.Sleep(reportInterval)
			}
		}()
		select {
		case <-engine.loaded:
			if took := time.Since(up); took > 400*time.Millisecond {
				t.Errorf("engine loaded %s after its first answer", took)
			}
		case <-time.After(5 * time.Second):
			t.Error("engine did not load")
		}
		cancel()
		time.Sleep(loadTimeout + time.Second)
	})
}

// TestHoldsOlderVersionGoesFirst publishes a version while its predecessor is
// in memory but not loaded, and stops the origin after the first piece. The
// predecessor must be loaded before it is due.
func TestHoldsOlderVersionGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site, stages := newTestSite(1, 1)
		site.truncated[3] = true
		now := boottime.Now()
		site.view.Weights = []siteclient.WeightsVersion{{Model: "m", Version: 2, Since: now}, {Model: "m", Version: 3, Since: now + time.Second}}
		engine := &recordingEngine{stages[0], make(chan relay.Bundle, 4)}
		agent := &Agent{
			Settings: Settings{Service: "llm", Address: "10.0.0.0:80", Domain: "d0", WeightsDue: 7300 * time.Millisecond},
			Views:    fixedView{site.view}, Relay: site.relays["10.0.0.0:80"], Metrics: metrics.New("Test"),
			firstSeen: map[relay.Bundle]time.Time{}, busy: map[relay.Bundle]float64{}, Engine: engine,
		}
		if err := agent.Relay.StageBundle(t.Context(), relay.Bundle{Model: "m", Version: 2}); err != nil {
			t.Fatal(err)
		}
		newer, older := relay.Bundle{Model: "m", Version: 3}, relay.Bundle{Model: "m", Version: 2}
		if b, ok := agent.chooseVersion(t.Context(), 1); !ok || b != newer {
			t.Errorf("chose version %d, %v while there is time", b.Version, ok)
		}
		for i := range site.view.Weights {
			site.view.Weights[i].Since -= 6 * time.Second
		}
		if b, ok := agent.chooseVersion(t.Context(), 1); !ok || b != older {
			t.Errorf("chose version %d, %v shortly before version 2 is due", b.Version, ok)
		}
	})
}

// TestHoldsMirrorKeepsVersionInForce requests outdated versions from a mirror,
// as a process with an old view would. They must not displace the version in
// force.
func TestHoldsMirrorKeepsVersionInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site, _ := newTestSite(1, 1)
		site.publish(4)
		defer site.startMirrors(t, 1)()
		time.Sleep(5 * time.Second)
		m := site.relays["10.0.1.0:70"]
		for v := range int64(4) {
			if _, err := m.Serve(t.Context(), relay.Bundle{Model: "m", Version: v - 1}, 0); err == nil {
				t.Errorf("version %d was served", v-1)
			}
		}
		if !m.Complete(relay.Bundle{Model: "m", Version: 4}) {
			t.Error("the version in force was displaced")
		}
	})
}

// TestOriginRecoveryIsLeftToMirrors makes the origin unavailable for longer than
// engines wait for their mirrors. Once it is back, its link must carry one copy for
// the mirrors, and not another one for engines that bypass them.
func TestOriginRecoveryIsLeftToMirrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const down = 6 * time.Second
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		site, stages := newLinkedSite(ctx, 18, 2)
		site.originDownUntil = time.Now().Add(down)
		site.publish(2)
		took := site.stageAll(t)
		checkStages(t, stages)
		t.Logf("staged %s after the recovery, %d pieces from the origin", took-down, site.originPieces)
		if site.originPieces > pieces+pieces/10 {
			t.Errorf("%d pieces from the origin, want %d", site.originPieces, pieces)
		}
		if bound := down + 4*time.Second; took > bound {
			t.Errorf("staged after %s, want %s", took, bound)
		}
	})
}
