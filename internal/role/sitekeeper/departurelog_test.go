package sitekeeper

import (
	"testing"
	"time"
)

// TestDepartureLogForgetsOldest guards against the time of another departure.
func TestDepartureLogForgetsOldest(t *testing.T) {
	var l departureLog
	for n := range uint64(maxDepartures + 1) {
		if got := l.add(time.Duration(n)); got != n {
			t.Fatalf("number %d, want %d", got, n)
		}
	}
	for n, want := range map[uint64]bool{0: false, 1: true, maxDepartures: true, maxDepartures + 1: false} {
		if at, ok := l.find(n); ok != want || ok && at != time.Duration(n) {
			t.Errorf("departure %d: %d, found %t, want %t", n, at, ok, want)
		}
	}
}
