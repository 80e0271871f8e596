package slowdown

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// TestFollowsTheEngine plays reports of an engine every 50 ms.
func TestFollowsTheEngine(t *testing.T) {
	type phase struct {
		start    int64
		slowdown float64
		length   time.Duration
	}
	for name, c := range map[string]struct {
		phases []phase
		want   float64
	}{
		"one report":            {[]phase{{1, 2.5, 50 * time.Millisecond}}, 2.5},
		"turns slow":            {[]phase{{1, 1, 5 * time.Second}, {1, 3, 5 * time.Second}}, 3},
		"three slow reports":    {[]phase{{1, 1, 5 * time.Second}, {1, 3, 150 * time.Millisecond}}, 1.3},
		"recovers":              {[]phase{{1, 3, 5 * time.Second}, {1, 1, 5 * time.Second}}, 1},
		"restarts":              {[]phase{{1, 3, 5 * time.Second}, {2, 1, 50 * time.Millisecond}}, 1},
		"slow while it is cold": {[]phase{{1, 1, 5 * time.Second}, {2, 4, 3 * time.Second}, {2, 1, 4 * time.Second}}, 1.1},
		"states none":           {[]phase{{1, 3, 5 * time.Second}, {1, 0, 50 * time.Millisecond}}, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			var e Estimator
			for _, p := range c.phases {
				for range p.length / (50 * time.Millisecond) {
					e.Add(time.Now(), p.start, p.slowdown)
					time.Sleep(50 * time.Millisecond)
				}
			}
			if d := cmp.Diff(c.want, e.Value(), cmpopts.EquateApprox(0, 1e-9)); d != "" {
				t.Errorf("%s: %s", name, d)
			}
		})
	}
}
