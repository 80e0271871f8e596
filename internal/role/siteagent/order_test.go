package siteagent

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
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

const (
	testLoadTime   = 300 * time.Millisecond
	testLayers     = 16
	piecesPerLayer = pieces / testLayers
)

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
	// refused means that the engine refuses the order as it is at present.
	refused bool
}

// testEngine is an engine with a stage. mu guards the fields below it.
type testEngine struct {
	stage

	mu        sync.Mutex
	sequence  int64
	busyUntil time.Time
	// version is that of the layers held. Each has the pieces that it was loaded
	// with.
	version int64
	layers  map[int]string
	// deliveries holds what happens to each order. Further ones are answered at
	// once.
	deliveries []delivery
	orders     int
	// onOrder is called with the number of each order as it is sent. It may be nil.
	onOrder func(n int)
	// mixed lists the pieces of another version than that of the order with which
	// they were loaded.
	mixed []string
	// aborted counts the requests that orders aborted.
	aborted int
	// active returns the number of requests that run. It may be nil.
	active func() int
	// readTime is how long the engine takes to send a staged piece, 2 ms if zero.
	readTime time.Duration
}

// stageReadTime is the least time that the engine takes to send a staged piece.
const stageReadTime = 2 * time.Millisecond

const corrupted = "corrupted"

// Get implements relay.Stage.
func (e *testEngine) Get(ctx context.Context, m id.Model, n int) ([]byte, error) {
	time.Sleep(max(e.readTime, stageReadTime))
	return e.stage.Get(ctx, m, n)
}

func (e *testEngine) Report(context.Context) (Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := Report{Sequence: e.sequence, Busy: time.Now().Before(e.busyUntil), StartMs: 1}
	if e.active != nil {
		r.Active = e.active()
	}
	if e.layers[0] != "" {
		r.Weights, r.LayersTo = e.version, len(e.layers)
	}
	return r, nil
}

// fault describes a layer that is not of the version held.
func (e *testEngine) fault() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	for l, got := range e.layers {
		if want := layerOf(e.version, l); got != want {
			return fmt.Sprintf("version %d, layer %d was loaded from %q", e.version, l, got)
		}
	}
	return ""
}

// layerOf returns the pieces of a layer of a version.
func layerOf(version int64, l int) string {
	var out []byte
	for n := l * piecesPerLayer; n < (l+1)*piecesPerLayer; n++ {
		out = append(out, versionedPiece(version, n)...)
	}
	return string(out)
}

func (e *testEngine) Load(ctx context.Context, o Order) error {
	e.mu.Lock()
	var d delivery
	if e.orders < len(e.deliveries) {
		d = e.deliveries[e.orders]
	}
	e.orders++
	n := e.orders
	if e.active != nil && o.Mode == AbortRequests {
		e.aborted += e.active()
	}
	e.mu.Unlock()
	if e.onOrder != nil {
		e.onOrder(n)
	}
	if d.refused {
		return ErrOrderRefused
	}
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
	if o.Layers == (Layers{}) {
		o.Layers = Layers{0, testLayers}
	}
	loaded := map[int]string{}
	missing := 0
	var mixed []string
	for l := o.Layers.From; l < o.Layers.To; l++ {
		if held := e.layers[l]; held != "" && o.Version == e.version {
			loaded[l] = held
			continue
		}
		missing++
		for n := l * piecesPerLayer; n < (l+1)*piecesPerLayer; n++ {
			data, _ := e.stage.Get(context.Background(), o.Model, n)
			loaded[l] += string(data)
			if string(data) != corrupted && string(data) != string(versionedPiece(o.Version, n)) {
				mixed = append(mixed, fmt.Sprintf("version %d was loaded with %q", o.Version, data))
			}
		}
	}
	if missing == 0 && len(loaded) == len(e.layers) {
		return nil
	}
	if o.Sequence != e.sequence {
		return errors.Wrap(ErrOrderRefused, "sequence differs")
	}
	e.sequence++
	e.mixed = append(e.mixed, mixed...)
	if missing == 0 {
		e.layers = loaded
		return nil
	}
	e.busyUntil = time.Now().Add(testLoadTime)
	time.AfterFunc(testLoadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.version, e.layers = o.Version, loaded
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

	mu sync.Mutex
	// openFor is the time for which entries were told to send requests, faults what
	// the engine held meanwhile that is not of one version.
	openFor time.Duration
	faults  []string
	// abortReports counts the reports that the engine aborts its requests.
	abortReports int
}

// runAgent runs an agent's loops until the test ends.
func runAgent(t *testing.T, deliveries ...delivery) *agentRun {
	t.Helper()
	run := newAgentRun(deliveries...)
	run.start(t)
	return run
}

func newAgentRun(deliveries ...delivery) *agentRun {
	e := &testEngine{stage: stage{pieces: map[int][]byte{}}, version: 1, layers: map[int]string{}, deliveries: deliveries}
	for n := range pieces {
		e.pieces[n] = versionedPiece(1, n)
	}
	for l := range testLayers {
		e.layers[l] = layerOf(1, l)
	}
	v := &mutableView{view: siteclient.View{Plan: &plan.Plan{Services: map[id.Service]*plan.Service{"llm": {Name: "llm", Engine: &plan.Engine{Model: "m", Layers: testLayers}}}}}}
	return &agentRun{engine: e, views: v, Agent: &Agent{
		Settings: Settings{Service: "llm", Address: "a", WeightsDue: 3 * time.Second}, Views: v, Engine: e, Metrics: metrics.New("Test"),
		Relay:     &relay.Relay{Origin: versionedOrigin{}, Stage: e, Routes: func(relay.Bundle, int) relay.Sources { return relay.Sources{} }, Priority: func(relay.Bundle, int) int { return 0 }},
		firstSeen: map[relay.Bundle]time.Time{}, busy: map[relay.Bundle]float64{}, wake: make(chan struct{}, 1),
	}}
}

// start runs the agent's loops until the test ends.
func (run *agentRun) start(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var loops sync.WaitGroup
	t.Cleanup(func() { cancel(); loops.Wait() })
	loops.Go(func() { run.reconcileLoop(ctx) })
	loops.Go(func() {
		for ctx.Err() == nil {
			r, err := run.engine.Report(ctx)
			load := run.recordReport(r, err)
			if !load.Closed {
				run.recordOpen()
			}
			if load.Aborts {
				run.mu.Lock()
				run.abortReports++
				run.mu.Unlock()
			}
			time.Sleep(reportInterval)
		}
	})
}

// recordOpen records that the engine is open for the time between two reports.
func (run *agentRun) recordOpen() {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.openFor += reportInterval
	if f := run.engine.fault(); f != "" {
		run.faults = append(run.faults, f)
	}
}

func (run *agentRun) expectOpen(t *testing.T, least, of time.Duration) {
	t.Helper()
	run.mu.Lock()
	defer run.mu.Unlock()
	if run.openFor < least {
		t.Errorf("engine was open for %s of %s", run.openFor, of)
	}
}

func (run *agentRun) expectLoaded(t *testing.T, version int64) {
	t.Helper()
	r, _ := run.engine.Report(t.Context())
	if r.Weights != version || r.LayersTo != testLayers {
		t.Errorf("engine holds %d layers of version %d, want %d of version %d", r.LayersTo, r.Weights, testLayers, version)
	}
	if f := run.engine.fault(); f != "" {
		t.Errorf("engine holds corrupted weights: %s", f)
	}
	run.engine.mu.Lock()
	for _, m := range run.engine.mixed {
		t.Error(m)
	}
	run.engine.mu.Unlock()
	run.mu.Lock()
	defer run.mu.Unlock()
	if len(run.faults) > 0 {
		t.Errorf("engine was open %d times with corrupted weights: %s", len(run.faults), run.faults[0])
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
		run.expectOpen(t, 6*time.Second, 10*time.Second)
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
				run.expectOpen(t, 15*time.Second, 34*time.Second)
			})
		})
	}
}

// spoil corrupts a staged piece.
func (e *testEngine) spoil(n int) { _ = e.Put(context.Background(), "m", n, []byte(corrupted)) }

// pausingStage is a stage at which the process stops for some time once, after it has
// read the last piece of a version.
type pausingStage struct {
	*testEngine
	version int64
	pause   time.Duration
	onPause func()
}

func (s *pausingStage) Get(ctx context.Context, m id.Model, n int) ([]byte, error) {
	data, err := s.testEngine.Get(ctx, m, n)
	if n == pieces-1 && s.pause > 0 && string(data) == string(versionedPiece(s.version, n)) {
		pause := s.pause
		s.pause = 0
		s.onPause()
		time.Sleep(pause)
	}
	return data, err
}

// TestHoldsOldCheckIsRepeated guards against a load of pieces that became corrupted
// after they were checked: the process did not run between the check and the order.
func TestHoldsOldCheckIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		run := newAgentRun()
		run.Relay.Stage = &pausingStage{testEngine: run.engine, version: 2, pause: 4 * time.Second, onPause: func() { run.engine.spoil(5) }}
		run.start(t)
		run.views.publish(2)
		time.Sleep(15 * time.Second)
		run.expectLoaded(t, 2)
		run.engine.mu.Lock()
		defer run.engine.mu.Unlock()
		if run.engine.orders != 1 {
			t.Errorf("%d orders, want 1", run.engine.orders)
		}
	})
}

// TestHoldsSpoiltLoadIsRepeated guards against an engine that serves with a piece
// which became corrupted while the order was on its way: the engine must stay closed
// until it has loaded the layer again.
func TestHoldsSpoiltLoadIsRepeated(t *testing.T) {
	for name, d := range map[string]delivery{
		"answered":       {delay: 900 * time.Millisecond},
		"without answer": {delay: 900 * time.Millisecond, unanswered: true},
	} {
		for _, piece := range []int{0, 5, pieces - 1} {
			t.Run(fmt.Sprintf("%s, piece %d", name, piece), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					run := newAgentRun(d)
					run.engine.onOrder = func(n int) {
						if n == 1 {
							run.engine.spoil(piece)
						}
					}
					run.start(t)
					run.views.publish(2)
					time.Sleep(12 * time.Second)
					run.expectLoaded(t, 2)
					run.expectOpen(t, 6*time.Second, 12*time.Second)
				})
			})
		}
	}
}

// TestHoldsSlowInstanceLoads guards against an engine that never gets a new version
// because its instance takes longer to check the pieces than a check may be old.
func TestHoldsSlowInstanceLoads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		run := newAgentRun()
		run.engine.readTime = 150 * time.Millisecond
		run.start(t)
		run.views.publish(2)
		time.Sleep(30 * time.Second)
		run.expectLoaded(t, 2)
	})
}

// TestHoldsRefusedAttemptsSettleNothing guards against weights of two versions: the
// engine refused further attempts of a pending order, and accepted the first one after
// that.
func TestHoldsRefusedAttemptsSettleNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		deliveries := append([]delivery{{delay: 20 * time.Second, unanswered: true}}, slices.Repeat([]delivery{{refused: true}}, 400)...)
		run := runAgent(t, deliveries...)
		run.views.publish(2)
		time.Sleep(4 * time.Second)
		run.views.publish(3)
		run.views.publish(4)
		time.Sleep(20 * time.Second)
		run.expectLoaded(t, 2)
	})
}

// TestHoldsAbortIsAnnounced guards against an engine that aborts its requests although
// entries were not told before, so that they take it to have ended.
func TestHoldsAbortIsAnnounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		run := newAgentRun()
		run.views.view.Plan.Routes = []plan.Route{{Kind: plan.Streaming, Resumable: true, MaxAttempts: 2, Shares: []plan.Share{{Service: "llm", Weight: 1}}}}
		run.engine.active = func() int { return 8 }
		run.engine.onOrder = func(int) {
			run.mu.Lock()
			defer run.mu.Unlock()
			if run.abortReports == 0 {
				t.Error("nothing was announced before the order")
			}
		}
		run.start(t)
		run.views.publish(2)
		time.Sleep(8 * time.Second)
		run.expectLoaded(t, 2)
		if run.engine.orders != 1 || run.recordReport(Report{StartMs: 1}, nil).Aborts {
			t.Errorf("%d orders, still aborting: %t", run.engine.orders, run.aborting)
		}
	})
}

// TestHoldsLoadWaitsForRequests checks which loads wait for the requests that run: those
// of engines that others can stand in for, of services whose streams must not pause.
func TestHoldsLoadWaitsForRequests(t *testing.T) {
	for name, c := range map[string]struct {
		gap    time.Duration
		active int
		// runFor is how long the requests run after the version is published.
		runFor  time.Duration
		aborted int
		// by is when the newest version must be in place.
		by time.Duration
		// versions are published one second after another.
		versions int64
	}{
		"calm":                   {300 * time.Millisecond, 8, 4 * time.Second, 0, 5 * time.Second, 1},
		"two versions":           {300 * time.Millisecond, 8, 4 * time.Second, 0, 10 * time.Second, 2},
		"slow engine":            {300 * time.Millisecond, 8, 7 * time.Second, 0, 8500 * time.Millisecond, 1},
		"pauses are not bounded": {0, 8, 4 * time.Second, 8, 4 * time.Second, 1},
		"capacity is short":      {300 * time.Millisecond, 15, 4 * time.Second, 15, 4 * time.Second, 1},
		"requests don't end":     {300 * time.Millisecond, 8, time.Hour, 8, 10 * time.Second, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				run := newAgentRun()
				run.Settings.WeightsDue = 7 * time.Second
				p := run.views.view.Plan
				p.Services["llm"].Engine.Slots = 16
				p.Routes = []plan.Route{{
					Kind: plan.Streaming, Resumable: true, MaxAttempts: 2, EventGap: c.gap, Timeout: 6 * time.Second,
					Shares: []plan.Share{{Service: "llm", Weight: 1}},
				}}
				began := time.Now()
				run.engine.active = func() int {
					if time.Since(began) > c.runFor+time.Second {
						return 0
					}
					return c.active
				}
				run.start(t)
				for n := range c.versions {
					time.Sleep(time.Second)
					run.views.publish(2 + n)
				}
				time.Sleep(c.by)
				run.expectLoaded(t, 1+c.versions)
				if run.engine.aborted != c.aborted {
					t.Errorf("%d requests were aborted, want %d", run.engine.aborted, c.aborted)
				}
			})
		})
	}
}
