package suspicion

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"egretproxy/internal/fleet/id"
)

const (
	// deadlyEnds is the number of engines that a request ends before it counts as
	// one that ends engines, maxLateSends the number of times that it may be sent
	// later than lateAfter after that.
	deadlyEnds, maxLateSends = 3, 3
	lateAfter                = 3 * time.Second
)

// deadlyTraffic returns a function for each step of a load, which sends some requests
// again and again, at a rate for each. They share all parts with sound requests.
func (l *load) deadlyTraffic(requests int, perSecond float64) func() {
	return func() {
		for n := range requests {
			if l.random.Float64() >= perSecond*loadStep.Seconds() {
				continue
			}
			l.send(&promptRequest{
				entry: l.random.IntN(loadEntries), name: id.PromptPart(fmt.Sprintf("request:%d", n)), deadly: true,
				parts: []id.PromptPart{"a0", id.PromptPart(fmt.Sprintf("b%d", n)), id.PromptPart(fmt.Sprintf("c%d", n))},
			})
		}
	}
}

// TestHoldsDeadlyRequestIsShutOut guards against requests that end each engine which
// runs them, and come again, being sent on; and against a part that they share with
// sound requests being convicted instead.
func TestHoldsDeadlyRequestIsShutOut(t *testing.T) {
	for _, c := range []struct {
		requests  int
		perSecond float64
	}{{1, 4}, {1, 0.5}, {4, 1.5}, {12, 0.5}} {
		t.Run(fmt.Sprintf("%d requests, %v per second each", c.requests, c.perSecond), func(t *testing.T) {
			for seed := range uint64(testSeeds) {
				synctest.Test(t, func(t *testing.T) {
					l := newLoad(seed)
					l.run(quietTime, 80, 0, 0, nil)
					l.sound, l.refusedSound = 0, 0
					l.run(2*crashTime, 80, 0, 0, l.deadlyTraffic(c.requests, c.perSecond))
					for name, ends := range l.crashes {
						late := 0
						for _, at := range l.sends[name] {
							if len(ends) >= deadlyEnds && at.After(ends[deadlyEnds-1].Add(lateAfter)) {
								late++
							}
						}
						if late > maxLateSends {
							t.Errorf("seed %d: %s was sent %d times later than %s after it had ended %d engines, %d in all", seed, name, late, lateAfter, deadlyEnds, len(ends))
						}
					}
					if l.refusedSound*100 > l.sound {
						t.Errorf("seed %d: %d of %d sound requests were shut out; verdicts %v", seed, l.refusedSound, l.sound, l.soundVerdicts)
					}
				})
			}
		})
	}
}
