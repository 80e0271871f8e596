// Package simengine is a stand-in for a model engine: it batches continuously,
// caches prefixes, honours priorities, turns cold and falls over, loads
// versions, and reports late.
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

// Config is how a stand-in engine behaves.
type Config struct {
	// Slots and ColdSlots are the requests borne when warm and when cold.
	Slots     int
	ColdSlots int
	// WarmRequests is the whole answers after which the engine is warm.
	WarmRequests int
	// TokenInterval is the time between two steps of the batch.
	TokenInterval time.Duration
	// PrefillPerKB is the time to read one KB of a prompt that is not
	// cached.
	PrefillPerKB time.Duration
	// ColdFactor slows a cold engine's prefill and tokens.
	ColdFactor int
	// CacheBlocks bounds the prefix cache.
	CacheBlocks int
	// ReportLag is the age of what /status tells about load.
	ReportLag time.Duration
	// EventLag is the delay of cache events, and EventLossInterval the number of
	// events after which one is left out.
	EventLag          time.Duration
	EventLossInterval int
	// Fencing makes the engine refuse orders with an old fencing number.
	Fencing bool
	// CrashFactor is the ratio of work to what is borne at which the
	// engine falls over.
	CrashFactor float64
	// LoadTime is the time to load content after it was read.
	LoadTime time.Duration
	// FailingVersion makes every load of this version fail.
	FailingVersion string
}

// Counts is what the stand-in has seen.
type Counts struct {
	// Requests is the requests taken in, and Answered those answered whole.
	Requests int
	Answered int
	// Overloads is the requests taken in above what the engine bore, without
	// Unsigned, which is those taken in before an engine that turned cold
	// without a word could give a sign of it: two cold tokens.
	Overloads int
	Unsigned  int
	FellOver  int
	Cancelled int
	// AfterMark is the requests taken in while marked.
	AfterMark int
	CacheHits int
	CacheMiss int
	// LoadedAt is the time, in Unix milliseconds, when each version was
	// loaded first.
	LoadedAt map[string]int64
}

// Request is one request in the engine.
type Request struct {
	prompt    string
	priority  int
	sequence  int
	maxTokens int
	// nextToken is the number of the nextToken token.
	next int
	// prefillEnd is the time when the prefill ends.
	prefillEnd time.Time
	// output gets one value for each token and is closed at the end.
	output chan int
	// aborted is closed when the engine falls over.
	aborted chan struct{}
	version string
	ctx     context.Context
}

// Tokens gives the number of each token and is closed at the end.
func (r *Request) Tokens() <-chan int { return r.output }

// Aborted is closed when the engine breaks the request off.
func (r *Request) Aborted() <-chan struct{} { return r.aborted }

// loadReport is a load loadReport with the time when it was made.
type loadReport struct {
	at      time.Time
	running int
	waiting int
}

// Engine is one stand-in engine.
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
	// answered is the whole answers since the engine was last cold.
	answered int
	// steps counts steps of the batch. A cold engine gives tokens in one of
	// ColdFactor steps only.
	steps int
	// madeColdAt is the time when the engine last turned cold without a word.
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

// New returns an engine that holds no version.
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

// Run steps the batch until the context ends.
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

// Install gives the engine a version at once.
func (e *Engine) Install(version, model string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version, e.model = version, model
	e.answered = 0
}

// capacity returns the requests that the engine capacity now.
func (e *Engine) capacity() int {
	if e.answered >= e.cfg.WarmRequests {
		return e.cfg.Slots
	}
	return e.cfg.ColdSlots + (e.cfg.Slots-e.cfg.ColdSlots)*e.answered/e.cfg.WarmRequests
}

func (e *Engine) cold() bool { return e.answered < e.cfg.WarmRequests }

// Submit takes a request in. It returns nil if the engine serves nothing.
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
		klog.InfoS("Request above what is borne", "Work", work, "Bears", e.capacity(), "Served", e.answered, "Version", e.version, "Prompt", prompt[max(0, len(prompt)-40):])
		e.countOverload()
	}
	if float64(work) > e.cfg.CrashFactor*float64(e.capacity()) {
		e.crash()
	}
	return r
}

func (e *Engine) countOverload() {
	sign := 2 * time.Duration(e.cfg.ColdFactor) * e.cfg.TokenInterval
	if time.Since(e.madeColdAt) < sign {
		e.counts.Unsigned++
		return
	}
	e.counts.Overloads++
}

// crash breaks all requests off and restarts the engine without content.
func (e *Engine) crash() {
	e.counts.FellOver++
	e.restart()
}

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

// MakeCold makes the engine cold without a word.
func (e *Engine) MakeCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answered = 0
	e.madeColdAt = time.Now()
	e.cache.clear()
}

// Restart makes the engine lose its content.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restart()
}

// SetMarked makes the engine count the requests that it takes in from now on, or
// no longer.
func (e *Engine) SetMarked(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.marked = on
}

// Counts returns what the stand-in has seen.
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

// step gives each running request one token and lets waiting ones in.
func (e *Engine) step(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removeCancelled()
	e.admit(now)
	e.steps++
	slow := e.cold() && e.cfg.ColdFactor > 0 && e.steps%e.cfg.ColdFactor != 0
	kept := e.running[:0]
	for _, r := range e.running {
		if slow || now.Before(r.prefillEnd) {
			kept = append(kept, r)
			continue
		}
		r.output <- r.next
		r.next++
		if r.next < r.maxTokens {
			kept = append(kept, r)
			continue
		}
		close(r.output)
		e.answered++
		e.counts.Answered++
		e.cachePrompt(r.prompt, now)
	}
	clear(e.running[len(kept):])
	e.running = kept
	e.recordReport(now)
}

// removeCancelled removes requests whose callers have left.
func (e *Engine) removeCancelled() {
	gone := func(r *Request) bool {
		if r.ctx.Err() == nil {
			return false
		}
		e.counts.Cancelled++
		return true
	}
	e.running = slices.DeleteFunc(e.running, gone)
	e.waiting = slices.DeleteFunc(e.waiting, gone)
}

// admit moves waiting requests into the batch, the most urgent first.
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

// prefill returns the time to read the part of a prompt that is not cached.
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

// recordReport keeps load reports until they are old enough to be told.
func (e *Engine) recordReport(now time.Time) {
	e.reports = append(e.reports, loadReport{at: now, running: len(e.running), waiting: len(e.waiting)})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.cfg.ReportLag {
		e.reports = e.reports[1:]
	}
}
