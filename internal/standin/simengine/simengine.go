// Package simengine simulates a model engine with continuous batching, a prefix
// cache, request priorities, a warm-up phase, crashes under overload, loading of
// versions and delayed load reports.
package simengine

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// Config sets the behaviour of a simulated engine.
type Config struct {
	// Slots and ColdSlots are the capacity, in concurrent requests, of a warm
	// engine and of one that has just become cold.
	Slots     int
	ColdSlots int
	// WarmRequests is the number of complete answers after which the engine
	// is warm.
	WarmRequests int
	// TokenInterval is the interval between two steps of the batch.
	TokenInterval time.Duration
	// PrefillPerKB is the prefill time for 1024 bytes of prompt that are not
	// cached.
	PrefillPerKB time.Duration
	// ColdFactor multiplies the prefill time and the interval between tokens
	// of a cold engine.
	ColdFactor int
	// CacheBlocks is the size of the prefix cache in blocks.
	CacheBlocks int
	// ReportLag is the age of the load figures in /status.
	ReportLag time.Duration
	// EventLag is the delay of cache events. Each event whose number is a
	// multiple of EventLossInterval is lost; 0 means that none is.
	EventLag          time.Duration
	EventLossInterval int
	// Fencing makes the engine reject load orders with an old fencing number.
	Fencing bool
	// CrashFactor is the ratio of accepted requests to capacity above which
	// the engine crashes.
	CrashFactor float64
	// LoadTime is the time to load content after it has been read.
	LoadTime time.Duration
	// FailingVersion is a version whose loads fail.
	FailingVersion string
}

// Counts holds the engine's counters.
type Counts struct {
	// Requests counts the accepted requests and Answered those that were
	// answered completely.
	Requests int
	Answered int
	// Overloads counts the requests accepted above the engine's capacity,
	// except for those in Unsigned.
	Overloads int
	// Unsigned counts the overloads that a router could not foresee: they came
	// so soon after a MakeCold that the engine could not yet produce the two
	// tokens that show its lower speed.
	Unsigned int
	// FellOver counts the crashes under overload.
	FellOver  int
	Cancelled int
	// AfterMark counts the requests accepted while the engine was marked.
	AfterMark int
	CacheHits int
	CacheMiss int
	// LoadedAt is the time, in Unix milliseconds, when each version was first
	// loaded.
	LoadedAt map[string]int64
}

// Request is a request that the engine has accepted.
type Request struct {
	prompt    string
	priority  int
	sequence  int
	maxTokens int
	// next is the number of the next token.
	next int
	// prefillEnd is when the prefill ends.
	prefillEnd time.Time
	// output receives the number of each token and is closed after the last.
	// Its buffer holds all of them, so that a step of the batch never blocks.
	output chan int
	// aborted is closed when the engine restarts or begins to load a version.
	aborted chan struct{}
	version string
	ctx     context.Context
}

// Tokens returns a channel that receives the number of each token and is closed
// after the last.
func (r *Request) Tokens() <-chan int { return r.output }

// Aborted returns a channel that is closed when the engine aborts the request.
func (r *Request) Aborted() <-chan struct{} { return r.aborted }

// loadReport is a load report and the time when it was made.
type loadReport struct {
	at      time.Time
	running int
	waiting int
}

// Engine is a simulated engine.
type Engine struct {
	cfg Config

	mu      sync.Mutex
	startID string
	version string
	model   string
	role    string
	digest  string
	loading bool
	// fence is the newest fencing number seen.
	fence uint64
	// answered counts the complete answers since the engine last became cold.
	answered int
	// steps counts the steps of the batch. A cold engine produces tokens only
	// in one of ColdFactor steps.
	steps int
	// madeColdAt is the time of the last MakeCold.
	madeColdAt time.Time
	running    []*Request
	waiting    []*Request
	sequence   int
	cache      cache
	events     []cacheEvent
	reports    []loadReport
	counts     Counts
	marked     bool
}

const startIDBytes = 6

// New returns an engine without a version.
func New(c Config) *Engine {
	e := &Engine{cfg: c, startID: newStartID(), role: "Mixed"}
	e.counts.LoadedAt = map[string]int64{}
	e.cache.maxBlocks = c.CacheBlocks
	return e
}

func newStartID() string {
	var b [startIDBytes]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Run steps the batch until ctx is cancelled.
func (e *Engine) Run(ctx context.Context) {
	ticker := time.NewTicker(e.cfg.TokenInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.step(time.Now())
		}
	}
}

// Install sets the engine's version without a load. The engine is cold after it.
func (e *Engine) Install(version, model string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version, e.model = version, model
	e.answered = 0
}

// capacity returns the number of concurrent requests that the engine can handle. It
// grows linearly from ColdSlots to Slots with the answers since the engine became
// cold. The caller holds e.mu.
func (e *Engine) capacity() int {
	if e.answered >= e.cfg.WarmRequests {
		return e.cfg.Slots
	}
	return e.cfg.ColdSlots + (e.cfg.Slots-e.cfg.ColdSlots)*e.answered/e.cfg.WarmRequests
}

func (e *Engine) cold() bool { return e.answered < e.cfg.WarmRequests }

// Submit queues a request whose first token has the number resume. It returns nil
// if the engine has no version or is loading one. A request above the capacity is
// accepted, but may crash the engine.
func (e *Engine) Submit(ctx context.Context, prompt string, priority, tokens, resume int) *Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.version == "" || e.loading {
		return nil
	}
	e.counts.Requests++
	if e.marked {
		e.counts.AfterMark++
	}
	e.sequence++
	r := &Request{
		prompt: prompt, priority: priority, sequence: e.sequence, maxTokens: tokens, next: resume,
		output: make(chan int, tokens+1), aborted: make(chan struct{}), version: e.version, ctx: ctx,
	}
	e.waiting = append(e.waiting, r)
	work := len(e.waiting) + len(e.running)
	if work > e.capacity() {
		klog.InfoS("Request exceeds the engine's capacity", "Work", work, "Bears", e.capacity(), "Served", e.answered, "Version", e.version, "Prompt", prompt[max(0, len(prompt)-40):])
		e.countOverload()
	}
	if float64(work) > e.cfg.CrashFactor*float64(e.capacity()) {
		e.crash()
	}
	return r
}

// countOverload counts an overload as Unsigned if it comes within the time that a
// cold engine takes for two tokens after MakeCold, else as Overloads.
func (e *Engine) countOverload() {
	detectionDelay := 2 * time.Duration(e.cfg.ColdFactor) * e.cfg.TokenInterval
	if time.Since(e.madeColdAt) < detectionDelay {
		e.counts.Unsigned++
		return
	}
	e.counts.Overloads++
}

// crash counts a crash and restarts the engine.
func (e *Engine) crash() {
	e.counts.FellOver++
	e.restart()
}

// restart aborts all requests and drops the version and the cache. The caller holds
// e.mu.
func (e *Engine) restart() {
	for _, r := range append(e.running, e.waiting...) {
		close(r.aborted)
	}
	e.running, e.waiting = nil, nil
	e.version, e.model, e.digest = "", "", ""
	e.answered = 0
	e.cache.clear()
	e.startID = newStartID()
}

// MakeCold makes the engine cold and empties its cache. The engine's status does
// not report this.
func (e *Engine) MakeCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answered = 0
	e.madeColdAt = time.Now()
	e.cache.clear()
}

// Restart restarts the engine, which loses its version.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restart()
}

// SetMarked sets whether the engine counts accepted requests in AfterMark.
func (e *Engine) SetMarked(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.marked = on
}

// Counts returns a copy of the counters.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := e.counts
	out.LoadedAt = map[string]int64{}
	for k, v := range e.counts.LoadedAt {
		out.LoadedAt[k] = v
	}
	return out
}

// step admits waiting requests to the batch and produces a token for each running
// request whose prefill has ended. A cold engine skips most steps, see steps.
func (e *Engine) step(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removeCancelled()
	e.admit(now)
	e.steps++
	slow := e.cold() && e.cfg.ColdFactor > 0 && e.steps%e.cfg.ColdFactor != 0
	remaining := e.running[:0]
	for _, r := range e.running {
		if slow || now.Before(r.prefillEnd) {
			remaining = append(remaining, r)
			continue
		}
		r.output <- r.next
		r.next++
		if r.next < r.maxTokens {
			remaining = append(remaining, r)
			continue
		}
		close(r.output)
		e.answered++
		e.counts.Answered++
		e.cachePrompt(r.prompt, now)
	}
	clear(e.running[len(remaining):])
	e.running = remaining
	e.recordReport(now)
}

// removeCancelled removes the requests whose context is cancelled.
func (e *Engine) removeCancelled() {
	cancelled := func(r *Request) bool {
		if r.ctx.Err() == nil {
			return false
		}
		e.counts.Cancelled++
		return true
	}
	e.running = slices.DeleteFunc(e.running, cancelled)
	e.waiting = slices.DeleteFunc(e.waiting, cancelled)
}

// admit moves waiting requests into the batch in the order of priority, then of
// arrival.
func (e *Engine) admit(now time.Time) {
	slices.SortStableFunc(e.waiting, func(a, b *Request) int {
		if a.priority != b.priority {
			return b.priority - a.priority
		}
		return a.sequence - b.sequence
	})
	for len(e.waiting) > 0 && len(e.running) < e.cfg.Slots {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		r.prefillEnd = now.Add(e.prefill(r.prompt))
		e.running = append(e.running, r)
	}
}

// prefill returns the prefill time of a prompt, for the part that is not cached.
func (e *Engine) prefill(prompt string) time.Duration {
	blocks, hit := e.cache.match(prompt)
	if hit > 0 {
		e.counts.CacheHits += hit
	}
	e.counts.CacheMiss += blocks - hit
	d := e.cfg.PrefillPerKB * time.Duration((blocks-hit)*blockBytes) / 1024
	if e.cold() {
		d *= time.Duration(e.cfg.ColdFactor)
	}
	return d
}

// recordReport appends a load report. The first report that it keeps is the newest
// one that is at least Config.ReportLag old.
func (e *Engine) recordReport(now time.Time) {
	e.reports = append(e.reports, loadReport{at: now, running: len(e.running), waiting: len(e.waiting)})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.cfg.ReportLag {
		e.reports = e.reports[1:]
	}
}
