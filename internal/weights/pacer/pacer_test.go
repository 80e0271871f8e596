package pacer_test

import (
	"testing"
	"time"

	"egretproxy/internal/weights/pacer"
)

// TestHoldsLiveRequestsKeepTheirRate simulates a 25 Mbit/s link with a single
// queue, shared by paced transfers and live requests of varying rate. It
// guards against transfers that displace live requests; unpaced transfers send
// at their maximum rate.
func TestHoldsLiveRequestsKeepTheirRate(t *testing.T) {
	const capacity = 25e6 / 8
	if got := liveShare(capacity, true); got < 0.95 {
		t.Errorf("live requests keep %.3f of their rate, want at least 0.95", got)
	}
	if got := liveShare(capacity, false); got >= 0.95 {
		t.Errorf("without the pacer live requests keep %.3f of their rate: the test is ineffective", got)
	}
}

// liveShare returns the fraction of the live requests' bytes that the link
// carries with a queue of at most 250 ms.
func liveShare(capacity float64, paced bool) float64 {
	const (
		step    = 10 * time.Millisecond
		baseRTT = 4 * time.Millisecond
		buffer  = 0.25
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
		if excess := queue - buffer*capacity; excess > 0 {
			lost += excess * live / (live + rate)
			queue -= excess
		}
		if i%10 == 0 {
			p.Sample(baseRTT+time.Duration(queue/capacity*float64(time.Second)), now)
		}
	}
	return 1 - lost/sent
}
