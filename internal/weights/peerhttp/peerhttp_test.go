package peerhttp

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestHoldsSlowLinkIsKnownThroughPauses plays pieces on a link of 1.2 Mbit/s:
// each takes 0.32 s, and as long a pause follows it. Between two of them the
// link must not look free, or requests queue behind the next one.
func TestHoldsSlowLinkIsKnownThroughPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const took = 320 * time.Millisecond
		const within = 500 * time.Millisecond
		var c Client
		for range 3 {
			began := time.Now()
			time.Sleep(took)
			c.recordTransfer(began)
			time.Sleep(2*took - time.Millisecond)
			if d := c.LinkDelay(within); d != took {
				t.Errorf("delay %s shortly before the next piece is there, want %s", d, took)
			}
		}
		time.Sleep(delayExpiryFactor * took)
		if d := c.LinkDelay(within); d != 0 {
			t.Errorf("delay %s long after the last piece", d)
		}
	})
}
