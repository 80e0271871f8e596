package siteagent

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/boottime"
	"egretproxy/internal/kernel/metrics"
	"egretproxy/internal/site/plan"
	"egretproxy/internal/site/siteclient"
	"egretproxy/internal/weights/relay"
)

const testLoadTime = 300 * time.Millisecond

func versionedPiece(version int64, n int) []byte {
	return fmt.Appendf(nil, "version %d piece %d", version, n)
}

// versionedOrigin serves pieces that differ between versions.
type versionedOrigin struct{}

func (versionedOrigin) Manifest(_ context.Context, b relay.Bundle) (relay.Manifest, error) {
	var m relay.Manifest
	for n := range pieces {
		sum := sha256.Sum256(versionedPiece(b.Version, n))
		m.Digests = append(m.Digests, hex.EncodeToString(sum[:]))
	}
	return m, nil
}

func (versionedOrigin) Piece(_ context.Context, b relay.Bundle, n int) ([]byte, error) {
	time.Sleep(10 * time.Millisecond)
	return versionedPiece(b.Version, n), nil
}

// delivery is what happens to an order on its way to the engine.
type delivery struct {
	// delay is the time until the engine receives the order.
	delay time.Duration
	// unanswered means that the agent gets no response.
	unanswered bool
}

// testEngine is an engine with a stage. mu guards the fields below it.
type testEngine struct {
	stage

	mu        sync.Mutex
	version   int64
	sequence  int64
	busyUntil time.Time
	// deliveries holds what happens to each order. Further ones are answered at
	// once.
	deliveries []delivery
	orders     int
	// faults lists the pieces that were not of the version that was loaded.
	faults []string
}

func (e *testEngine) Report(context.Context) (Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Report{Weights: e.version, Sequence: e.sequence, Busy: time.Now().Before(e.busyUntil), StartMs: 1}, nil
}

func (e *testEngine) Load(ctx context.Context, o Order) error {
	e.mu.Lock()
	var d delivery
	if e.orders < len(e.deliveries) {
		d = e.deliveries[e.orders]
	}
	e.orders++
	e.mu.Unlock()
	result := make(chan error, 1)
	time.AfterFunc(d.delay, func() { result <- e.accept(o) })
	if d.unanswered {
		<-ctx.Done()
		return ctx.Err()
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// accept loads the stage as it is now.
func (e *testEngine) accept(o Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Version == e.version {
		return nil
	}
	if o.Sequence != e.sequence {
		return errors.Wrap(ErrOrderRefused, "sequence differs")
	}
	e.sequence++
	for n := range pieces {
		data, _ := e.Get(context.Background(), o.Model, n)
		if string(data) != string(versionedPiece(o.Version, n)) {
			e.faults = append(e.faults, fmt.Sprintf("version %d was loaded with %q", o.Version, data))
		}
	}
	e.busyUntil = time.Now().Add(testLoadTime)
	time.AfterFunc(testLoadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.version = o.Version
	})
	return nil
}

// mutableView is a view to which versions are published while an agent runs.
type mutableView struct {
	mu   sync.Mutex
	view siteclient.View
}

func (v *mutableView) View() *siteclient.View {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := v.view
	return &out
}

func (v *mutableView) publish(version int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.view.Weights = append(v.view.Weights[:len(v.view.Weights):len(v.view.Weights)], siteclient.WeightsVersion{Model: "m", Version: version, Since: boottime.Now()})
}

// agentRun is an agent beside a test engine that holds version 1.
type agentRun struct {
	*Agent
	engine *testEngine
	views  *mutableView
	// openFor is the time for which entries were told to send requests.
	openFor time.Duration
}

// runAgent runs an agent's loops until the test ends.
func runAgent(t *testing.T, deliveries ...delivery) *agentRun {
	t.Helper()
	e := &testEngine{stage: stage{pieces: map[int][]byte{}}, version: 1, deliveries: deliveries}
	for n := range pieces {
		e.pieces[n] = versionedPiece(1, n)
	}
	v := &mutableView{view: siteclient.View{Plan: &plan.Plan{Services: map[id.Service]*plan.Service{"llm": {Name: "llm", Engine: &plan.Engine{Model: "m", Layers: 16}}}}}}
	run := &agentRun{engine: e, views: v, Agent: &Agent{
		Settings: Settings{Service: "llm", Address: "a", WeightsDue: 3 * time.Second}, Views: v, Engine: e, Metrics: metrics.New("Test"),
		Relay:     &relay.Relay{Origin: versionedOrigin{}, Stage: e, Routes: func(relay.Bundle, int) relay.Sources { return relay.Sources{} }, Priority: func(relay.Bundle, int) int { return 0 }},
		firstSeen: map[relay.Bundle]time.Time{}, wake: make(chan struct{}, 1),
	}}
	ctx, cancel := context.WithCancel(t.Context())
	var loops sync.WaitGroup
	t.Cleanup(func() { cancel(); loops.Wait() })
	loops.Go(func() { run.reconcileLoop(ctx) })
	loops.Go(func() {
		for ctx.Err() == nil {
			r, err := e.Report(ctx)
			if load := run.recordReport(r, err); !load.Closed {
				run.openFor += reportInterval
			}
			time.Sleep(reportInterval)
		}
	})
	return run
}

func (run *agentRun) expectLoaded(t *testing.T, version int64) {
	t.Helper()
	r, _ := run.engine.Report(t.Context())
	if r.Weights != version {
		t.Errorf("engine holds version %d, want %d", r.Weights, version)
	}
	run.engine.mu.Lock()
	defer run.engine.mu.Unlock()
	for _, f := range run.engine.faults {
		t.Error(f)
	}
}

// TestHoldsOrderWithoutResponseStopsNoAgent guards against an agent that waits for
// the response to an order for ever: its engine got no requests and no newer version.
func TestHoldsOrderWithoutResponseStopsNoAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		run := runAgent(t, delivery{unanswered: true})
		run.views.publish(2)
		time.Sleep(10 * time.Second)
		run.expectLoaded(t, 2)
		if run.openFor < 6*time.Second {
			t.Errorf("engine was open for %s of 10 s", run.openFor)
		}
		run.views.publish(3)
		time.Sleep(8 * time.Second)
		run.expectLoaded(t, 3)
	})
}

// TestHoldsLateOrderLoadsOneVersion guards against weights of two versions: an order
// that was given up is accepted later, when a newer version is already published.
// The stage must hold the version of that order until its outcome is known.
func TestHoldsLateOrderLoadsOneVersion(t *testing.T) {
	for name, deliveries := range map[string][]delivery{
		"only the first is late":    {{delay: 6 * time.Second, unanswered: true}},
		"none is received for long": {{delay: 9 * time.Second, unanswered: true}, {delay: time.Hour, unanswered: true}, {delay: time.Hour, unanswered: true}, {delay: time.Hour, unanswered: true}},
		"two arrive together":       {{delay: 4 * time.Second, unanswered: true}, {delay: 2500 * time.Millisecond, unanswered: true}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				run := runAgent(t, deliveries...)
				run.views.publish(2)
				time.Sleep(4 * time.Second)
				run.views.publish(3)
				time.Sleep(30 * time.Second)
				run.expectLoaded(t, 3)
				if run.openFor < 15*time.Second {
					t.Errorf("engine was open for %s of 34 s", run.openFor)
				}
			})
		})
	}
}
