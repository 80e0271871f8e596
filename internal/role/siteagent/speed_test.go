package siteagent

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/metrics"
	"egretproxy/internal/site/loadreport"
	"egretproxy/internal/site/plan"
	"egretproxy/internal/site/siteclient"
)

// unevenAgent returns the agent of an engine of 12 slots that writes an event in 56 ms
// and reads a prompt of mean length in 40 ms.
func unevenAgent() *Agent {
	return &Agent{
		Settings: Settings{Service: "s", Address: "a"}, Metrics: metrics.New("agent"),
		Views: fixedView{&siteclient.View{Plan: &plan.Plan{
			Routes: []plan.Route{
				{EventGap: 400 * time.Millisecond, Shares: []plan.Share{{Service: "s", Weight: 1}}},
				{EventGap: 100 * time.Millisecond, Shares: []plan.Share{{Service: "other", Weight: 1}}},
			},
			Services: map[id.Service]*plan.Service{"s": {Name: "s", Engine: &plan.Engine{
				Slots: 12, Step: 8 * time.Millisecond, StepsPerEvent: 7, PrefillTokensPerSecond: 30000, MeanPromptTokens: 1200,
			}}},
		}}},
	}
}

// TestHoldsSlowEngineStartsFewAtOnce guards against more prompts at a slow engine than
// it reads within the pause between events that its callers accept.
func TestHoldsSlowEngineStartsFewAtOnce(t *testing.T) {
	type deal struct {
		Free int
		// OncePerGap means that the next deal follows after the gap, Expired that
		// the places are not valid until then.
		OncePerGap, Expired bool
	}
	for name, c := range map[string]struct {
		load loadreport.Load
		want deal
	}{
		"usual":           {loadreport.Load{Active: 8}, deal{Free: 5}},
		"slow":            {loadreport.Load{Active: 8, Slowdown: 2.5}, deal{Free: 2, OncePerGap: true}},
		"slow with queue": {loadreport.Load{Active: 8, Queued: 1, Slowdown: 2.5}, deal{Free: 1, OncePerGap: true}},
		"slow and full":   {loadreport.Load{Active: 12, Queued: 1, Slowdown: 2.5}, deal{OncePerGap: true}},
	} {
		places, interval := unevenAgent().places(c.load)
		got := deal{places.Free, interval >= 400*time.Millisecond, places.Valid < interval}
		if d := cmp.Diff(c.want, got); d != "" {
			t.Errorf("%s: %s", name, d)
		}
	}
}

// TestReportsSlowness checks what entries learn of an engine's speed.
func TestReportsSlowness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := unevenAgent()
		var got []float32
		for _, r := range []Report{{}, {StartMs: 1, Slowdown: 1}, {StartMs: 2, Slowdown: 2.5}, {StartMs: 2, Slowdown: -1}, {StartMs: 3, Slowdown: 1e9}} {
			got = append(got, a.recordReport(r, nil).Slowdown)
		}
		if d := cmp.Diff([]float32{0, 0, 2.5, 0, 100}, got); d != "" {
			t.Error(d)
		}
	})
}
