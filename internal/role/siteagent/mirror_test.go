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

// startMirrors adds a keeper with a mirror to each of the first domains. They
// run until the function that is returned is called.
func (w *testSite) startMirrors(t *testing.T, domains int) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	w.view.Keepers = map[string]id.Region{}
	regions := map[id.Domain]id.Region{}
	var mirrors []*mirror.Mirror
	for d := range domains {
		domain := id.Domain(fmt.Sprintf("d%d", d))
		regions[domain] = id.Region(domain)
		address := fmt.Sprintf("10.%d.1.0:70", d)
		w.view.Keepers[address] = regions[domain]
		w.domain[address] = domain
		m := &mirror.Mirror{
			Address: address, Region: regions[domain], Regions: regions, Follower: fixedView{w.view},
			Relay: &relay.Relay{Origin: w, Peers: peers{w, address}, Stage: mirror.Stage()}, Metrics: metrics.New("Test"),
		}
		m.Relay.Routes, m.Relay.Priority, m.Relay.OnMissing = m.Routes, m.Priority, m.Request
		w.relays[address] = m.Relay
		mirrors = append(mirrors, m)
	}
	// The world is complete before the first of them looks at it.
	for _, m := range mirrors {
		go func() { _ = m.Run(ctx) }()
	}
	synctest.Wait()
	return func() { cancel(); synctest.Wait() }
}

func (w *testSite) publish(version int64) {
	w.view.Weights = append(w.view.Weights, siteclient.WeightsVersion{Model: "m", Version: version, Since: boottime.Now()})
}

// TestHoldsMirrorsReplaceEngineUploads plays a new version at a site whose engines
// are busy: their links carry their callers' events, so their processes send
// no piece to each other. Each piece leaves the origin once and enters each
// further region once.
func TestHoldsMirrorsReplaceEngineUploads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, stages := newTestSite(3, 8)
		w.publish(2)
		engines := len(w.relays)
		defer w.startMirrors(t, 3)()
		took := w.stageAll(t)
		checkStages(t, stages)
		sent := 0
		for address, n := range w.uploads {
			if w.view.Keepers[address] == "" {
				sent += n
			}
		}
		if sent != 0 || w.originPieces != pieces || w.crossDomainPieces != 2*pieces {
			t.Errorf("%d engines sent %d pieces, %d drawn, %d crossed", engines, sent, w.originPieces, w.crossDomainPieces)
		}
		if took > 2500*time.Millisecond {
			t.Errorf("took %s", took)
		}
	})
}

// TestMirrorLost takes the mirror of one region away: its engines draw from
// the mirrors of others and share what they get.
func TestMirrorLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, stages := newTestSite(3, 4)
		w.publish(2)
		defer w.startMirrors(t, 2)()
		took := w.stageAll(t)
		checkStages(t, stages)
		if w.originPieces > pieces+pieces/4 {
			t.Errorf("%d pieces drawn", w.originPieces)
		}
		if took > 5*time.Second {
			t.Errorf("took %s", took)
		}
	})
}

// TestHoldsObtainableVersionIsUsed names a version that the origin can't give
// while the one before is spreading: engines go on with the one before.
func TestHoldsObtainableVersionIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, _ := newTestSite(1, 1)
		w.missing[3] = true
		w.publish(2)
		w.publish(3)
		tender := &Agent{
			Settings: Settings{Service: "llm", Address: "10.0.0.0:80", Domain: "d0"}, Views: fixedView{w.view},
			Relay: w.relays["10.0.0.0:80"], Metrics: metrics.New("Test"), firstSeen: map[relay.Bundle]time.Time{},
		}
		wanted := tender.candidates(1)
		if len(wanted) != 2 || wanted[0].Version != 3 {
			t.Fatalf("wanted %v", wanted)
		}
		if b, ok := tender.firstAvailable(t.Context(), wanted); !ok || b.Version != 2 {
			t.Errorf("took version %d, %v", b.Version, ok)
		}
		w.missing[3] = false
		if b, ok := tender.firstAvailable(t.Context(), wanted); !ok || b.Version != 3 {
			t.Errorf("took version %d, %v once the origin gives version 3", b.Version, ok)
		}
	})
}

// recordingEngine answers from a moment on.
type recordingEngine struct {
	*stage
	loaded chan relay.Bundle
}

func (e *recordingEngine) Report(context.Context) (Report, error) { return Report{}, nil }

func (e *recordingEngine) Load(_ context.Context, b relay.Bundle, _ int64, _ SwitchMode) error {
	e.loaded <- b
	return nil
}

// TestHoldsNewEngineFindsWeightsReady adds an engine to a busy site: while it
// starts, its weights come into memory, so that it loads at once.
func TestHoldsNewEngineFindsWeightsReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, stages := newTestSite(1, 2)
		w.publish(2)
		ctx, cancel := context.WithCancel(t.Context())
		defer w.startMirrors(t, 1)()
		engine := &recordingEngine{stages[0], make(chan relay.Bundle, 1)}
		tender := &Agent{
			Settings: Settings{Service: "llm", Address: "10.0.0.0:80", Domain: "d0", Region: "d0"}, Views: fixedView{w.view},
			Relay: w.relays["10.0.0.0:80"], Metrics: metrics.New("Test"), firstSeen: map[relay.Bundle]time.Time{}, Engine: engine,
		}
		go tender.reconcileLoop(ctx)
		time.Sleep(3 * time.Second)
		up := time.Now()
		go func() {
			for ctx.Err() == nil {
				tender.recordReport(Report{}, nil)
				time.Sleep(reportInterval)
			}
		}()
		select {
		case <-engine.loaded:
			if took := time.Since(up); took > 400*time.Millisecond {
				t.Errorf("the engine loads %s after it answered", took)
			}
		case <-time.After(5 * time.Second):
			t.Error("the engine does not load")
		}
		cancel()
		time.Sleep(loadTimeout + time.Second)
	})
}

// TestHoldsOlderVersionGoesFirst names a version while the one before is at
// hand but not loaded, and lets the origin break off after its first piece.
// The one before is loaded in time to be there when it is due.
func TestHoldsOlderVersionGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, stages := newTestSite(1, 1)
		w.truncated[3] = true
		now := boottime.Now()
		w.view.Weights = []siteclient.WeightsVersion{{Model: "m", Version: 2, Since: now}, {Model: "m", Version: 3, Since: now + time.Second}}
		engine := &recordingEngine{stages[0], make(chan relay.Bundle, 4)}
		tender := &Agent{
			Settings: Settings{Service: "llm", Address: "10.0.0.0:80", Domain: "d0", WeightsDue: 7300 * time.Millisecond},
			Views:    fixedView{w.view}, Relay: w.relays["10.0.0.0:80"], Metrics: metrics.New("Test"),
			firstSeen: map[relay.Bundle]time.Time{}, Engine: engine,
		}
		if err := tender.Relay.StageBundle(t.Context(), relay.Bundle{Model: "m", Version: 2}); err != nil {
			t.Fatal(err)
		}
		newer, older := relay.Bundle{Model: "m", Version: 3}, relay.Bundle{Model: "m", Version: 2}
		if b, ok := tender.chooseVersion(t.Context(), 1); !ok || b != newer {
			t.Errorf("took version %d, %v while there is time", b.Version, ok)
		}
		for i := range w.view.Weights {
			w.view.Weights[i].Since -= 6 * time.Second
		}
		if b, ok := tender.chooseVersion(t.Context(), 1); !ok || b != older {
			t.Errorf("took version %d, %v shortly before version 2 is due", b.Version, ok)
		}
	})
}

// TestHoldsMirrorKeepsWhatIsInForce asks a mirror for versions that are long out
// of use, as a process with an old view would: they displace nothing.
func TestHoldsMirrorKeepsWhatIsInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, _ := newTestSite(1, 1)
		w.publish(4)
		defer w.startMirrors(t, 1)()
		time.Sleep(5 * time.Second)
		m := w.relays["10.0.1.0:70"]
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
