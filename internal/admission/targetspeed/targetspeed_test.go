package targetspeed

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"egretproxy/internal/site/plan"
)

// usual is an engine that writes an event in 56 ms and reads a mean prompt in 40 ms.
var usual = &plan.Engine{
	Slots: 12, Step: 8 * time.Millisecond, StepsPerEvent: 7, PrefillTokensPerSecond: 30000, MeanPromptTokens: 1200, MeanAnswerTokens: 120,
}

// TestFitFollowsWhatCallersNeed places requests of a route that allows 400 ms until
// the first event and between events, and 6 s in all, at targets of several speeds.
func TestFitFollowsWhatCallersNeed(t *testing.T) {
	due := Work{PromptTokens: 1200, Start: 400 * time.Millisecond, Gap: 400 * time.Millisecond, End: 6 * time.Second}
	with := func(change func(*Work)) Work {
		w := due
		change(&w)
		return w
	}
	short, long := with(func(w *Work) { w.HintTokens = 50 }), with(func(w *Work) { w.HintTokens = 400 })
	slow := Speed{Engine: usual, Slowdown: 2.5, Fastest: 1}
	for name, c := range map[string]struct {
		speed Speed
		work  Work
		want  Fit
	}{
		"short answer":                       {slow, short, Suited},
		"long answer":                        {slow, long, Unsuited},
		"answer that may be longer":          {slow, with(func(w *Work) { w.HintTokens = 140 }), Doubtful},
		"bounded answer":                     {slow, with(func(w *Work) { w.HintTokens, w.MaxTokens = 400, 60 }), Suited},
		"no hint, up to 300 tokens":          {slow, with(func(w *Work) { w.MaxTokens = 300 }), Doubtful},
		"no hint, up to 60 tokens":           {slow, with(func(w *Work) { w.MaxTokens = 60 }), Suited},
		"nothing known of the answer":        {slow, due, Doubtful},
		"rest of a long answer":              {slow, with(func(w *Work) { w.HintTokens, w.MaxTokens, w.DoneTokens = 200, 300, 280 }), Suited},
		"long prompt":                        {slow, with(func(w *Work) { w.HintTokens, w.PromptTokens = 50, 4000 }), Doubtful},
		"long prompt of a late request":      {slow, with(func(w *Work) { w.HintTokens, w.PromptTokens, w.Start = 50, 4000, 0 }), Suited},
		"pauses over the gap":                {Speed{Engine: usual, Slowdown: 8}, with(func(w *Work) { w.HintTokens, w.Start = 20, 0 }), Doubtful},
		"busy target":                        {Speed{Engine: usual, Slowdown: 2.5, Fastest: 1, InFlight: 1}, short, Doubtful},
		"busy target that is little slower":  {Speed{Engine: usual, Slowdown: 1.5, Fastest: 1, InFlight: 6}, short, Suited},
		"little time left":                   {slow, with(func(w *Work) { w.HintTokens, w.End = 50, 500*time.Millisecond }), Unsuited},
		"no deadline":                        {slow, with(func(w *Work) { w.HintTokens, w.End = 5000, 0 }), Suited},
		"target of usual speed":              {Speed{Engine: usual, Slowdown: 1, Fastest: 1, InFlight: 13}, long, Suited},
		"target of unknown speed":            {Speed{Engine: usual, Fastest: 1}, long, Suited},
		"all targets are slow":               {Speed{Engine: usual, Slowdown: 2.5, Fastest: 2.5}, long, Suited},
		"target a little slower than others": {Speed{Engine: usual, Slowdown: 1.1, Fastest: 1}, long, Suited},
		"service without a model":            {Speed{Slowdown: 2.5}, long, Suited},
	} {
		if d := cmp.Diff(c.want, c.speed.Fit(c.work)); d != "" {
			t.Errorf("%s: %s", name, d)
		}
	}
}

// TestLoadFollowsSpeed compares requests in progress at targets of several speeds.
func TestLoadFollowsSpeed(t *testing.T) {
	for name, c := range map[string]struct {
		speed Speed
		want  float64
	}{
		"usual":           {Speed{Slowdown: 1, Fastest: 1, InFlight: 4}, 4},
		"unknown":         {Speed{InFlight: 4}, 4},
		"idle and slow":   {Speed{Slowdown: 2.5, Fastest: 1}, 1.5},
		"busy and slow":   {Speed{Slowdown: 2.5, Fastest: 1, InFlight: 3}, 9},
		"all are slow":    {Speed{Slowdown: 2.5, Fastest: 2.5, InFlight: 3}, 3},
		"the fastest one": {Speed{Slowdown: 1, Fastest: 2.5, InFlight: 3}, 3},
	} {
		if d := cmp.Diff(c.want, c.speed.Load()); d != "" {
			t.Errorf("%s: %s", name, d)
		}
	}
}

// TestBurstKeepsTheGap checks how many prompts a target may get at once.
func TestBurstKeepsTheGap(t *testing.T) {
	for name, c := range map[string]struct {
		slowdown float64
		gap      time.Duration
		want     int
	}{
		"usual":             {1, 400 * time.Millisecond, 0},
		"unknown":           {0, 400 * time.Millisecond, 0},
		"no gap":            {2.5, 0, 0},
		"slow":              {2.5, 400 * time.Millisecond, 2},
		"slower":            {4, 400 * time.Millisecond, 1},
		"slower than a gap": {50, 400 * time.Millisecond, 1},
	} {
		if d := cmp.Diff(c.want, Speed{Engine: usual, Slowdown: c.slowdown}.Burst(c.gap)); d != "" {
			t.Errorf("%s: %s", name, d)
		}
	}
}
