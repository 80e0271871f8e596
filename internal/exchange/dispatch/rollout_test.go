package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestHoldsLongRequestsOutlastNoLoad checks that requests which would outlast the load of
// a target go to others, that short ones fill it, and that long ones get it if no other
// has room.
func TestHoldsLongRequestsOutlastNoLoad(t *testing.T) {
	for name, c := range map[string]struct {
		expected time.Duration
		// full is set if the target that loads later has no room.
		full bool
		// early is set if the target that loads soon is expected.
		early bool
	}{
		"long":               {2 * time.Second, false, false},
		"short":              {200 * time.Millisecond, false, true},
		"unknown":            {0, false, true},
		"long, others full":  {2 * time.Second, true, true},
		"short, others full": {200 * time.Millisecond, true, true},
		"outlasts both":      {time.Hour, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := New(settings())
				d.Update(site(2, 1))
				later := Load{Active: 10, Weights: 1, LoadsAt: time.Now().Add(4 * time.Second)}
				if c.full {
					later.Closed = true
				}
				d.ReportLoad("e0", Load{Weights: 1, LoadsAt: time.Now().Add(time.Second)})
				d.ReportLoad("e1", later)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				g, err := d.Acquire(ctx, &Request{Service: "llm", MaxWait: 200 * time.Millisecond, Expected: c.expected})
				if err != nil {
					t.Fatal(err)
				}
				defer g.End(Served)
				if (g.Target == "e0") != c.early {
					t.Errorf("goes to %s", g.Target)
				}
			})
		})
	}
}
