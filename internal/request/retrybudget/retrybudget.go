// Package retrybudget limits retries to a fraction of the requests, so that a
// loss of targets does not cause a retry storm.
package retrybudget

import "sync"

// burst is the maximum number of retries at once.
const burst = 10

// Budget tracks the retries that may still be made. Ratio is set before use.
// It is safe for concurrent use.
type Budget struct {
	// Ratio is the number of retries that each request adds to the budget.
	Ratio float64

	mu sync.Mutex
	// spent is the number of retries made, less what requests have added. It
	// lies between zero and burst.
	spent float64
}

// RecordRequest adds the ratio for one request to the budget.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-b.Ratio)
}

// TakeRetry consumes one retry and returns true if the budget allows it.
func (b *Budget) TakeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > burst {
		return false
	}
	b.spent++
	return true
}
