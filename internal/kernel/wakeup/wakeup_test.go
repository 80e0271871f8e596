package wakeup

import "testing"

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// TestSignalWakesThoseThatWait guards against waiters that sleep through a change, or wake
// by one from before they waited.
func TestSignalWakesThoseThatWait(t *testing.T) {
	var s Signal
	s.Send()
	first, second := s.Next(), s.Next()
	if isClosed(first) || isClosed(second) {
		t.Error("a waiter wakes by a signal from before it waited")
	}
	s.Send()
	third := s.Next()
	if !isClosed(first) || !isClosed(second) || isClosed(third) {
		t.Errorf("after the signal: %t, %t for those that waited, %t for a new one", isClosed(first), isClosed(second), isClosed(third))
	}
}
