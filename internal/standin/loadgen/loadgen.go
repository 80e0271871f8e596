// Package loadgen sends a steady load of requests to the entries and counts the
// results as their callers see them.
package loadgen

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"egretproxy/internal/wire/header"
)

// Config describes the load to send.
type Config struct {
	// Entries holds the base URLs of the entries. Requests go to the ready
	// ones in round-robin order, as behind a load balancer.
	Entries []string
	// Keys holds the API keys of the organisations.
	Keys  []string
	Model string
	// Rate is the mean number of requests per second. The gaps between them
	// are distributed exponentially.
	Rate float64
	// NonIdempotentShare is the share of requests that must not be executed
	// twice. StreamShare is the share of the others that ask for a stream.
	NonIdempotentShare float64
	StreamShare        float64
	MaxTokens          int
	PrefixCount        int
	Seed               uint64
	// Resend also retries a non-idempotent request, under the same
	// idempotency key, after an error response or a truncated one. Those
	// without a response are always retried.
	Resend bool
}

// Counts holds the results of the requests.
type Counts struct {
	Requests       int
	Answered       int
	RefusedNotRun  int
	OutcomeUnknown int
	// CutOff counts the completions that are incomplete: those without a
	// response, those whose body or stream broke off, and streams that
	// ended with an error event.
	CutOff int
	// Mixed counts the answers with parts from another version than the one
	// in their bundle header. Wrong counts the answers whose text is not the
	// expected one: it belongs to another request, or parts are missing.
	Mixed    int
	Wrong    int
	Reasons  map[string]int
	Versions map[string]int
	// FirstTokenMilliseconds holds quantiles of the time to first token of
	// streams.
	FirstTokenMilliseconds Quantiles
	// NotRun lists the records whose last attempt was refused as not run.
	// Done lists the records whose request was answered.
	NotRun []string
	Done   []string
}

// Quantiles holds quantiles of a duration in milliseconds.
type Quantiles struct {
	P50 float64
	P95 float64
	P99 float64
}

const (
	readyPollInterval = 200 * time.Millisecond
	readyTimeout      = 200 * time.Millisecond
	requestTimeout    = 30 * time.Second
	maxMicroseconds   = 60_000_000
	histogramDigits   = 3
	organisationBias  = 2
)

// Generator sends the load and counts its results.
type Generator struct {
	cfg    Config
	client *http.Client

	mu              sync.Mutex
	counts          Counts
	firstTokenTimes *hdrhistogram.Histogram
	readyEntries    []string
	entryIndex      int
}

// New returns a generator. It sends nothing before Run.
func New(c Config) *Generator {
	return &Generator{
		cfg:             c,
		client:          &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		counts:          Counts{Reasons: map[string]int{}, Versions: map[string]int{}},
		firstTokenTimes: hdrhistogram.New(1, maxMicroseconds, histogramDigits),
		readyEntries:    c.Entries,
	}
}

// Run sends requests until ctx is cancelled, waits for those in flight and
// returns the counts.
func (g *Generator) Run(ctx context.Context) Counts {
	random := rand.New(rand.NewPCG(g.cfg.Seed, 1))
	go g.pollReadiness(ctx)
	var wg sync.WaitGroup
	for i := 0; ; i++ {
		gap := time.Duration(random.ExpFloat64() / g.cfg.Rate * float64(time.Second))
		select {
		case <-ctx.Done():
			wg.Wait()
			return g.Counts()
		case <-time.After(gap):
		}
		s := g.newSpec(i, random)
		wg.Add(1)
		go func() {
			defer wg.Done()
			g.send(s)
		}()
	}
}

// Counts returns the results so far.
func (g *Generator) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := g.counts
	out.FirstTokenMilliseconds = Quantiles{
		P50: float64(g.firstTokenTimes.ValueAtQuantile(50)) / 1000,
		P95: float64(g.firstTokenTimes.ValueAtQuantile(95)) / 1000,
		P99: float64(g.firstTokenTimes.ValueAtQuantile(99)) / 1000,
	}
	return out
}

// requestSpec describes one request.
type requestSpec struct {
	number        int
	key           string
	prompt        string
	record        string
	nonIdempotent bool
	stream        bool
	chat          bool
}

func (g *Generator) newSpec(i int, random *rand.Rand) requestSpec {
	s := requestSpec{number: i}
	// Organisations at the front of the list send more than the others.
	k := len(g.cfg.Keys)
	s.key = g.cfg.Keys[min(random.IntN(k), random.IntN(k*organisationBias))%k]
	s.prompt = promptText(random.IntN(max(1, g.cfg.PrefixCount)), i)
	s.nonIdempotent = random.Float64() < g.cfg.NonIdempotentShare
	s.stream = random.Float64() < g.cfg.StreamShare
	s.chat = random.IntN(2) == 0
	s.record = fmt.Sprintf("record-%d-%d", g.cfg.Seed, i)
	return s
}

const prefixRepeats = 24

// promptText returns a prompt that shares its prefix with all others of the same
// prefix number.
func promptText(prefix, number int) string {
	out := ""
	for range prefixRepeats {
		out += fmt.Sprintf("You advise on ropes and crevasses, handbook %04d. ", prefix)
	}
	return out + fmt.Sprintf("Question %d.", number)
}

// pollReadiness polls the entries' /readyz pages until ctx is cancelled and
// updates the ready entries. It keeps the last list if none is ready.
func (g *Generator) pollReadiness(ctx context.Context) {
	client := &http.Client{Timeout: readyTimeout}
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		var ready []string
		for _, e := range g.cfg.Entries {
			resp, err := client.Get(e + "/readyz")
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready = append(ready, e)
			}
		}
		if len(ready) > 0 {
			g.mu.Lock()
			g.readyEntries = ready
			g.mu.Unlock()
		}
	}
}

func (g *Generator) nextEntry() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.entryIndex++
	return g.readyEntries[g.entryIndex%len(g.readyEntries)]
}

// updateCounts applies f to the counts under the lock.
func (g *Generator) updateCounts(f func(c *Counts)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(&g.counts)
}

func (g *Generator) recordRefusal(resp *http.Response) {
	g.updateCounts(func(c *Counts) {
		c.Reasons[resp.Header.Get(header.Reason)]++
		if resp.Header.Get(header.Outcome) == "NotRun" {
			c.RefusedNotRun++
			return
		}
		c.OutcomeUnknown++
	})
}
