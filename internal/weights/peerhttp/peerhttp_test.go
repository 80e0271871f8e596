package peerhttp

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestHoldsLinkDelayOutlastsPauses simulates pieces on a 1.2 Mbit/s link: each
// takes 0.32 s and is followed by a pause of the same length. If the link
// looked idle between two pieces, requests would queue behind the next one.
func TestHoldsLinkDelayOutlastsPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const took = 320 * time.Millisecond
		const within = 500 * time.Millisecond
		var c Client
		for range 3 {
			start := time.Now()
			time.Sleep(took)
			c.recordTransfer(start)
			time.Sleep(2*took - time.Millisecond)
			if d := c.LinkDelay(within); d != took {
				t.Errorf("delay is %s shortly before the next piece arrives, want %s", d, took)
			}
		}
		time.Sleep(delayExpiryFactor * took)
		if d := c.LinkDelay(within); d != 0 {
			t.Errorf("delay is %s long after the last piece, want 0", d)
		}
	})
}
