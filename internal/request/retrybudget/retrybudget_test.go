package retrybudget_test

import (
	"testing"

	"egretproxy/internal/request/retrybudget"
)

// TestHoldsRetriesStayWithinBudget lets every request ask for six retries, as
// after the loss of many targets.
func TestHoldsRetriesStayWithinBudget(t *testing.T) {
	b := retrybudget.Budget{Ratio: 0.1}
	const requests, burst = 5000, 10
	retries := 0
	for range requests {
		b.RecordRequest()
		for range 6 {
			if b.TakeRetry() {
				retries++
			}
		}
	}
	if retries > requests/10+burst {
		t.Errorf("%d retries for %d requests", retries, requests)
	}
	if retries < requests/10 {
		t.Errorf("only %d retries were permitted", retries)
	}
}
