package dispatch

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestHoldsRestartGrantsNoSecondAllowance guards against entries that restart while
// requests fail: each process used the whole allowance of retries again, so that the
// site exceeded its budget within one window.
func TestHoldsRestartGrantsNoSecondAllowance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries, allowance, requests, window = 5, 50, 20, 10 * time.Second
		retries := 0
		for range 4 {
			for range entries {
				b := &RetryBudget{Ratio: 0.2, Allowance: allowance, Window: window, StartedAt: time.Now()}
				for range requests {
					b.RecordRequest("s")
					for b.TakeRetry("s", entries) {
						retries++
					}
				}
			}
			time.Sleep(2 * time.Second)
		}
		if most := 0.2*4*entries*requests + allowance; float64(retries) > most {
			t.Errorf("%d retries in a window, want %g at most", retries, most)
		}
		b := &RetryBudget{Allowance: allowance, Window: window, StartedAt: time.Now()}
		if b.TakeRetry("s", 1) {
			t.Error("a new process used an allowance at once")
		}
		time.Sleep(window)
		if !b.TakeRetry("s", 1) {
			t.Error("the allowance is still refused after a window")
		}
	})
}
