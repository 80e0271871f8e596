package retrydetector

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestHoldsFirstAttemptsAreNotTakenForRetries guards against first attempts
// being classified as retries, which queued them behind all other requests.
// The load rises from low to heavy: deadlines vary by 15%, and under load two
// in five requests are retries after a Retry-After of 0.7 to 1.7 s.
func TestHoldsFirstAttemptsAreNotTakenForRetries(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var d Detector
	firstAttempt := func() time.Duration {
		return 5100*time.Millisecond + time.Duration(rng.Int64N(int64(900*time.Millisecond)))
	}
	for _, share := range []float64{0, 0.4} {
		falsePositives, missed, firstAttempts, retries := 0, 0, 0, 0
		for range 2000 {
			remaining := firstAttempt()
			if rng.Float64() >= share {
				firstAttempts++
				if d.Observe("r", remaining) {
					falsePositives++
				}
				continue
			}
			retries++
			if !d.Observe("r", remaining-700*time.Millisecond-time.Duration(rng.Int64N(int64(time.Second)))) {
				missed++
			}
		}
		if falsePositives*50 > firstAttempts {
			t.Errorf("%d of %d first attempts were classified as retries at a retry share of %.1f", falsePositives, firstAttempts, share)
		}
		if missed*5 > retries {
			t.Errorf("%d of %d retries were not detected", missed, retries)
		}
	}
}

// TestDetectorAdaptsToShorterDeadlines shortens the deadlines of a route
// permanently.
func TestDetectorAdaptsToShorterDeadlines(t *testing.T) {
	var d Detector
	for range 100 {
		d.Observe("r", 6*time.Second)
	}
	falsePositives := 0
	for range 2000 {
		if d.Observe("r", 3*time.Second) {
			falsePositives++
		}
	}
	if falsePositives > 500 {
		t.Errorf("%d of 2000 requests were classified as retries", falsePositives)
	}
}
