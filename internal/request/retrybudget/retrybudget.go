// Package retrybudget bounds retries to a share of the requests, so that a loss of
// targets is not followed by a storm of retries.
package retrybudget

import "sync"

// burst is the retries that are permitted at once.
const burst = 10

// Budget is the retries that may still be made. Set Ratio before use.
type Budget struct {
	// Ratio is the retries that each request adds.
	Ratio float64

	mu sync.Mutex
	// spent is the retries less what requests have added. It lies between
	// zero and burst.
	spent float64
}

// RecordRequest adds the share of one request.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-b.Ratio)
}

// TakeRetry takes one retry. It reports whether the budget permits it.
func (b *Budget) TakeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > burst {
		return false
	}
	b.spent++
	return true
}
