package answertime

import (
	"fmt"
	"testing"
	"time"
)

// TestExpectFollowsAnswers checks the estimate with and without a hint, that it follows
// the latest answers, and that a hint beyond all measure does not exceed them.
func TestExpectFollowsAnswers(t *testing.T) {
	var e Estimator
	if got := e.Expect("r", 100); got != 0 {
		t.Errorf("%s without an answer", got)
	}
	for n := range window {
		tokens := 10 + n%91
		e.Add("r", tokens, time.Duration(tokens)*10*time.Millisecond)
		e.Add("other", 0, time.Minute)
	}
	for hint, want := range map[int][2]time.Duration{
		0: {850 * time.Millisecond, time.Second}, 20: {190 * time.Millisecond, 210 * time.Millisecond},
		100000: {950 * time.Millisecond, time.Second},
	} {
		if got := e.Expect("r", hint); got < want[0] || got > want[1] {
			t.Errorf("%s with hint %d, want %s to %s", got, hint, want[0], want[1])
		}
	}
	for range window + recomputed {
		e.Add("r", 100, 3*time.Second)
	}
	if got := e.Expect("r", 0); got != 3*time.Second {
		t.Errorf("%s after answers have become slower", got)
	}
}

// TestMemoryIsBounded guards against routes without end.
func TestMemoryIsBounded(t *testing.T) {
	var e Estimator
	for n := range 2 * maxRoutes {
		e.Add(fmt.Sprint(n), 10, time.Second)
	}
	for range 3 * window {
		e.Add("0", 10, time.Second)
	}
	if len(e.routes) != maxRoutes || len(e.routes["0"].whole.times) != window {
		t.Errorf("%d routes, %d times", len(e.routes), len(e.routes["0"].whole.times))
	}
}
