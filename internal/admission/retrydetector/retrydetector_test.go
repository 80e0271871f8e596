package retrydetector

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestHoldsFirstTriesAreNotTakenForReturned plays a day that turns from calm
// to heavy: deadlines vary by 15 in 100, and under load two in five requests
// come from callers that were told to come back after 0.7 to 1.7 s. First
// tries that were taken for late ones waited behind all others.
func TestHoldsFirstTriesAreNotTakenForReturned(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var p Detector
	first := func() time.Duration {
		return 5100*time.Millisecond + time.Duration(rng.Int64N(int64(900*time.Millisecond)))
	}
	for _, share := range []float64{0, 0.4} {
		wrong, missed, firsts, returns := 0, 0, 0, 0
		for range 2000 {
			left := first()
			if rng.Float64() >= share {
				firsts++
				if p.Observe("r", left) {
					wrong++
				}
				continue
			}
			returns++
			if !p.Observe("r", left-700*time.Millisecond-time.Duration(rng.Int64N(int64(time.Second)))) {
				missed++
			}
		}
		if wrong*50 > firsts {
			t.Errorf("%d of %d first tries were taken for returned ones, with %.1f returned", wrong, firsts, share)
		}
		if missed*5 > returns {
			t.Errorf("%d of %d returned callers were not noticed", missed, returns)
		}
	}
}

// TestPatienceFollowsChanges shortens the deadlines of a route for good.
func TestPatienceFollowsChanges(t *testing.T) {
	var p Detector
	for range 100 {
		p.Observe("r", 6*time.Second)
	}
	wrong := 0
	for range 2000 {
		if p.Observe("r", 3*time.Second) {
			wrong++
		}
	}
	if wrong > 500 {
		t.Errorf("%d of 2000 requests were taken for returned ones", wrong)
	}
}
