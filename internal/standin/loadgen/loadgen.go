// Package loadgen sends steady requests as the users' callers do, and counts from
// their side what became of each.
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

// Config is the load to send.
type Config struct {
	// Entries is the base URLs of the entries. The load takes them in turn,
	// as a balancer does, and leaves out those that are not ready.
	Entries []string
	// Keys is the organisations' keys.
	Keys  []string
	Model string
	// Rate is the requests a second.
	Rate float64
	// NonIdempotentShare is the part of the requests that may not be repeated, and
	// StreamShare that of the others which ask for a stream.
	NonIdempotentShare float64
	StreamShare        float64
	MaxTokens          int
	PrefixCount        int
	Seed               uint64
	// Resend makes the load resend, through another entry, each request
	// that may not be repeated and got no answer.
	Resend bool
}

// Counts is what became of the requests.
type Counts struct {
	Requests       int
	Answered       int
	RefusedNotRun  int
	OutcomeUnknown int
	// CutOff is the streams and bodies that broke off without an event
	// that says so, and those that ended with one.
	CutOff int
	// Mixed is the answers with parts from more than one version, and
	// Wrong those that belong to another request or are not whole.
	Mixed    int
	Wrong    int
	Reasons  map[string]int
	Versions map[string]int
	// FirstTokenMilliseconds are quantiles of the time to the first token.
	FirstTokenMilliseconds Quantiles
	// NotRun lists the records that were refused as not run in the end, and
	// Done those that were answered.
	NotRun []string
	Done   []string
}

// Quantiles of a time in milliseconds.
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

// Generator is a running load.
type Generator struct {
	cfg    Config
	client *http.Client

	mu              sync.Mutex
	counts          Counts
	firstTokenTimes *hdrhistogram.Histogram
	readyEntries    []string
	entryIndex      int
}

// New returns a load that has sent nothing.
func New(c Config) *Generator {
	return &Generator{
		cfg:             c,
		client:          &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		counts:          Counts{Reasons: map[string]int{}, Versions: map[string]int{}},
		firstTokenTimes: hdrhistogram.New(1, maxMicroseconds, histogramDigits),
		readyEntries:    c.Entries,
	}
}

// Run sends requests until the context ends and waits for their answers.
func (l *Generator) Run(ctx context.Context) Counts {
	random := rand.New(rand.NewPCG(l.cfg.Seed, 1))
	go l.pollReadiness(ctx)
	var wg sync.WaitGroup
	for i := 0; ; i++ {
		gap := time.Duration(random.ExpFloat64() / l.cfg.Rate * float64(time.Second))
		select {
		case <-ctx.Done():
			wg.Wait()
			return l.Counts()
		case <-time.After(gap):
		}
		s := l.newSpec(i, random)
		wg.Add(1)
		go func() {
			defer wg.Done()
			l.send(s)
		}()
	}
}

// Counts returns what became of the requests so far.
func (l *Generator) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.counts
	out.FirstTokenMilliseconds = Quantiles{
		P50: float64(l.firstTokenTimes.ValueAtQuantile(50)) / 1000,
		P95: float64(l.firstTokenTimes.ValueAtQuantile(95)) / 1000,
		P99: float64(l.firstTokenTimes.ValueAtQuantile(99)) / 1000,
	}
	return out
}

// requestSpec is what one request looks like.
type requestSpec struct {
	number        int
	key           string
	prompt        string
	record        string
	nonIdempotent bool
	stream        bool
	chat          bool
}

func (l *Generator) newSpec(i int, random *rand.Rand) requestSpec {
	s := requestSpec{number: i}
	// The first organisations are larger than the others.
	k := len(l.cfg.Keys)
	s.key = l.cfg.Keys[min(random.IntN(k), random.IntN(k*organisationBias))%k]
	s.prompt = promptText(random.IntN(max(1, l.cfg.PrefixCount)), i)
	s.nonIdempotent = random.Float64() < l.cfg.NonIdempotentShare
	s.stream = random.Float64() < l.cfg.StreamShare
	s.chat = random.IntN(2) == 0
	s.record = fmt.Sprintf("record-%d-%d", l.cfg.Seed, i)
	return s
}

const prefixRepeats = 24

// promptText returns a text that shares its first part with others.
func promptText(prefix, number int) string {
	out := ""
	for range prefixRepeats {
		out += fmt.Sprintf("You advise on ropes and crevasses, handbook %04d. ", prefix)
	}
	return out + fmt.Sprintf("Question %d.", number)
}

// pollReadiness leaves out the entries that are not ready.
func (l *Generator) pollReadiness(ctx context.Context) {
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
		for _, e := range l.cfg.Entries {
			w, err := client.Get(e + "/readyz")
			if err != nil {
				continue
			}
			_ = w.Body.Close()
			if w.StatusCode == http.StatusOK {
				ready = append(ready, e)
			}
		}
		if len(ready) > 0 {
			l.mu.Lock()
			l.readyEntries = ready
			l.mu.Unlock()
		}
	}
}

func (l *Generator) nextEntry() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entryIndex++
	return l.readyEntries[l.entryIndex%len(l.readyEntries)]
}

// updateCounts notes the end of a request.
func (l *Generator) updateCounts(f func(c *Counts)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.counts)
}

func (l *Generator) recordRefusal(w *http.Response) {
	l.updateCounts(func(c *Counts) {
		c.Reasons[w.Header.Get(header.Reason)]++
		if w.Header.Get(header.Outcome) == "NotRun" {
			c.RefusedNotRun++
			return
		}
		c.OutcomeUnknown++
	})
}
