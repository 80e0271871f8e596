package siteentry

import (
	"io"
	"net/http"
	"testing"
	"time"
)

// TestHoldsStoppingEntryRefusesLateRequests guards against a request that reaches
// a stopping entry too late to end within the grace period, and is cut.
func TestHoldsStoppingEntryRefusesLateRequests(t *testing.T) {
	target, address := startTarget(t, respondWith("ok"))
	te := startEntry(t, address)
	te.entry.stop.begin(time.Hour)
	if res, _, err := te.call(t, "once"); err != nil || res.StatusCode != http.StatusOK {
		t.Errorf("after the stop request: response %v, error %v", res, err)
	}
	te.entry.stop.beganAt = time.Now().Add(-lastAdmission)
	res, _, err := te.call(t, "once")
	if err != nil || res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" {
		t.Errorf("later: response %v, error %v", res, err)
	}
	if n := len(target.requests()); n != 1 {
		t.Errorf("the target got %d requests", n)
	}
}

// TestHoldsStoppingEntryAnswersAtTheEnd guards against a request that is still in
// progress at the end of the grace period and gets no response at all.
func TestHoldsStoppingEntryAnswersAtTheEnd(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	_, address := startTarget(t, func(io.Writer, *http.Request) { <-release })
	te := startEntry(t, address)
	te.entry.stop.begin(50 * time.Millisecond)
	res, _, err := te.call(t, "once")
	if err != nil || res.StatusCode != http.StatusBadGateway {
		t.Errorf("response %v, error %v", res, err)
	}
}
