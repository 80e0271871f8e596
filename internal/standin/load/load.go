// Package load sends steady requests as the users' callers do, and counts from
// their side what became of each.
package load

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
	// OnceShare is the part of the requests that may not be repeated, and
	// StreamShare that of the others which ask for a stream.
	OnceShare   float64
	StreamShare float64
	Tokens      int
	Prefixes    int
	Seed        uint64
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
	balancerInterval = 200 * time.Millisecond
	readyTimeout     = 200 * time.Millisecond
	requestTimeout   = 30 * time.Second
	maxMicroseconds  = 60_000_000
	histogramDigits  = 3
	organisationBias = 2
)

// Load is a running load.
type Load struct {
	cfg    Config
	client *http.Client

	mu     sync.Mutex
	counts Counts
	first  *hdrhistogram.Histogram
	ready  []string
	turn   int
}

// New returns a load that has sent nothing.
func New(c Config) *Load {
	return &Load{
		cfg:    c,
		client: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		counts: Counts{Reasons: map[string]int{}, Versions: map[string]int{}},
		first:  hdrhistogram.New(1, maxMicroseconds, histogramDigits),
		ready:  c.Entries,
	}
}

// Run sends requests until the context ends and waits for their answers.
func (l *Load) Run(ctx context.Context) Counts {
	random := rand.New(rand.NewPCG(l.cfg.Seed, 1))
	go l.balance(ctx)
	var wg sync.WaitGroup
	for i := 0; ; i++ {
		gap := time.Duration(random.ExpFloat64() / l.cfg.Rate * float64(time.Second))
		select {
		case <-ctx.Done():
			wg.Wait()
			return l.Counts()
		case <-time.After(gap):
		}
		s := l.shape(i, random)
		wg.Add(1)
		go func() {
			defer wg.Done()
			l.send(s)
		}()
	}
}

// Counts returns what became of the requests so far.
func (l *Load) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.counts
	out.FirstTokenMilliseconds = Quantiles{
		P50: float64(l.first.ValueAtQuantile(50)) / 1000,
		P95: float64(l.first.ValueAtQuantile(95)) / 1000,
		P99: float64(l.first.ValueAtQuantile(99)) / 1000,
	}
	return out
}

// shape is what one request looks like.
type shape struct {
	number int
	key    string
	prompt string
	record string
	once   bool
	stream bool
	chat   bool
}

func (l *Load) shape(i int, random *rand.Rand) shape {
	s := shape{number: i}
	// The first organisations are larger than the others.
	k := len(l.cfg.Keys)
	s.key = l.cfg.Keys[min(random.IntN(k), random.IntN(k*organisationBias))%k]
	s.prompt = prompt(random.IntN(max(1, l.cfg.Prefixes)), i)
	s.once = random.Float64() < l.cfg.OnceShare
	s.stream = random.Float64() < l.cfg.StreamShare
	s.chat = random.IntN(2) == 0
	s.record = fmt.Sprintf("record-%d-%d", l.cfg.Seed, i)
	return s
}

const prefixRepeats = 24

// prompt returns a text that shares its first part with others.
func prompt(prefix, number int) string {
	out := ""
	for range prefixRepeats {
		out += fmt.Sprintf("You advise on ropes and crevasses, handbook %04d. ", prefix)
	}
	return out + fmt.Sprintf("Question %d.", number)
}

// balance leaves out the entries that are not ready.
func (l *Load) balance(ctx context.Context) {
	client := &http.Client{Timeout: readyTimeout}
	ticker := time.NewTicker(balancerInterval)
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
			l.ready = ready
			l.mu.Unlock()
		}
	}
}

func (l *Load) entry() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.turn++
	return l.ready[l.turn%len(l.ready)]
}

// count notes the end of a request.
func (l *Load) count(f func(c *Counts)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.counts)
}

func (l *Load) refused(w *http.Response) {
	l.count(func(c *Counts) {
		c.Reasons[w.Header.Get(header.Reason)]++
		if w.Header.Get(header.Outcome) == "NotRun" {
			c.RefusedNotRun++
			return
		}
		c.OutcomeUnknown++
	})
}
