package pacer_test

import (
	"testing"
	"time"

	"egretproxy/internal/weights/pacer"
)

// TestHoldsLiveRequestsKeepTheirRate shares a link of 25 Mbit/s, with one
// queue for all, between transfers that follow the pace and live requests
// that come and go. Without the pace the transfers send at their highest rate.
func TestHoldsLiveRequestsKeepTheirRate(t *testing.T) {
	const capacity = 25e6 / 8
	if got := liveShare(capacity, true); got < 0.95 {
		t.Errorf("live requests keep %.3f of their rate, at least 0.95", got)
	}
	if got := liveShare(capacity, false); got >= 0.95 {
		t.Errorf("without the pace live requests keep %.3f: the test shows nothing", got)
	}
}

// liveShare returns the part of the live requests' bytes that the link
// carries within a queue of a quarter of a second.
func liveShare(capacity float64, paced bool) float64 {
	const (
		step   = 10 * time.Millisecond
		base   = 4 * time.Millisecond
		buffer = 0.25
	)
	p := &pacer.Pacer{Max: capacity}
	now := time.Unix(0, 0)
	queue, sent, lost := 0.0, 0.0, 0.0
	for i := range 12_000 {
		now = now.Add(step)
		live := capacity * []float64{0.2, 0.6, 0.4, 0.8}[i/1000%4]
		rate := capacity
		if paced {
			rate = p.Rate()
		}
		queue = max(0, queue+(live+rate-capacity)*step.Seconds())
		sent += live * step.Seconds()
		if over := queue - buffer*capacity; over > 0 {
			lost += over * live / (live + rate)
			queue -= over
		}
		if i%10 == 0 {
			p.Sample(base+time.Duration(queue/capacity*float64(time.Second)), now)
		}
	}
	return 1 - lost/sent
}
