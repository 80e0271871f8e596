package siteentry

import (
	"fmt"
	"testing"
	"time"
)

// TestHoldsStopTimesFitGrace guards against a stop whose last responses come after
// the process is killed, and against one that ends responses before the last sixth
// of the time that the platform gives, where a target may still be at work.
func TestHoldsStopTimesFitGrace(t *testing.T) {
	for _, grace := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 30 * time.Second, 5 * time.Minute} {
		t.Run(fmt.Sprint(grace), func(t *testing.T) {
			s := newStopTimes(grace)
			if s.answers < grace*5/6 {
				t.Errorf("responses end after %s, before the last sixth", s.answers)
			}
			if s.answers >= s.close || s.finalPass <= 0 || s.close+s.finalPass >= grace {
				t.Errorf("responses end after %s, connections after %s and another %s", s.answers, s.close, s.finalPass)
			}
		})
	}
}

// TestHoldsStopWithoutGraceGivesTime guards against a stop that ends all responses in
// progress at once because the platform names no grace period.
func TestHoldsStopWithoutGraceGivesTime(t *testing.T) {
	for _, grace := range []time.Duration{0, -time.Second} {
		if got, want := newStopTimes(grace), newStopTimes(defaultStopGrace); got != want {
			t.Errorf("times of a stop with a grace period of %s are %+v, want %+v", grace, got, want)
		}
	}
}
