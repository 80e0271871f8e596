package quantile

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestEstimatorFollowsSamples feeds uniformly distributed durations, then
// durations three times as long.
func TestEstimatorFollowsSamples(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	q := Estimator{Probability: 0.75, Step: 0.02}
	for _, longest := range []time.Duration{100 * time.Millisecond, 300 * time.Millisecond} {
		for range 1000 {
			q.Add(time.Duration(rng.Int64N(int64(longest))))
		}
		if want := longest * 3 / 4; q.Value() < want*8/10 || q.Value() > want*12/10 {
			t.Errorf("estimate is %s, want about %s", q.Value(), want)
		}
	}
}
