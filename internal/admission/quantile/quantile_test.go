package quantile

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestQuantileFollows feeds evenly spread times, then times three times as
// long.
func TestQuantileFollows(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	q := Estimator{Probability: 0.75, Step: 0.02}
	for _, most := range []time.Duration{100 * time.Millisecond, 300 * time.Millisecond} {
		for range 1000 {
			q.Add(time.Duration(rng.Int64N(int64(most))))
		}
		if want := most * 3 / 4; q.Value() < want*8/10 || q.Value() > want*12/10 {
			t.Errorf("%s, want about %s", q.Value(), want)
		}
	}
}
