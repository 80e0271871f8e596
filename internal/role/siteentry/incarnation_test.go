package siteentry

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/site/incarnation"
)

// targets returns the targets in the order of their addresses.
func (te *testEntry) targets() []id.Target {
	var out []id.Target
	for range te.views.view.Targets {
		out = append(out, id.Target(fmt.Sprint("t", len(out))))
	}
	return out
}

// breaksAfterThird sends the third event of a stream and breaks off.
func breaksAfterThird(w io.Writer, r *http.Request) {
	_, _ = io.WriteString(w, head(r, "200 OK", "Transfer-Encoding: chunked")+chunk(event(3)))
}

// TestHoldsPlannedAbortIsNoEnd guards against a request that is suspected because
// targets which loaded weights aborted it, and against ends that such a load hides.
func TestHoldsPlannedAbortIsNoEnd(t *testing.T) {
	for name, c := range map[string]struct {
		report incarnation.Report
		served bool
		ends   int
	}{
		"announced":   {incarnation.Report{Born: 1, Aborts: true}, true, 0},
		"no abort":    {incarnation.Report{Born: 1}, false, 2},
		"new start":   {incarnation.Report{Born: 2, Aborts: true}, false, 2},
		"engine lost": {incarnation.Report{}, false, 2},
	} {
		t.Run(name, func(t *testing.T) {
			_, a1 := startTarget(t, breaksAfterTwo)
			_, a2 := startTarget(t, breaksAfterThird)
			_, a3 := startTarget(t, streams(4, 5))
			te := startEntry(t, a1, a2, a3)
			te.plan.Routes[2].MaxAttempts = 3
			for _, k := range te.targets() {
				r := c.report
				r.Target = k
				te.entry.OnReport(r)
			}
			res, body, err := te.call(t, "stream")
			want := event(1) + event(2) + event(3)
			if c.served {
				want += event(4) + event(5)
			}
			if res == nil || res.StatusCode != http.StatusOK || body != want || (err == nil) != c.served {
				t.Errorf("got response %v, body %q, error %v", res, body, err)
			}
			if got := te.entry.witness.RequestEnds(digestOf("stream")); got != c.ends {
				t.Errorf("%d ends are held against the request, want %d", got, c.ends)
			}
		})
	}
}

// TestHoldsLivingTargetClearsRequest guards against a request that is held back though
// the targets that broke it off went on: a report that should have told was lost, or
// they reset connections beyond their limit.
func TestHoldsLivingTargetClearsRequest(t *testing.T) {
	_, a1 := startTarget(t, endsAtOnce)
	_, a2 := startTarget(t, endsAtOnce)
	te := startEntry(t, a1, a2)
	te.call(t, "stream")
	if got := te.entry.witness.RequestEnds(digestOf("stream")); got != 2 {
		t.Fatalf("%d ends", got)
	}
	time.Sleep(150 * time.Millisecond)
	for _, k := range te.targets() {
		te.entry.OnReport(incarnation.Report{Target: k, Born: 1})
	}
	if got := te.entry.witness.RequestEnds(digestOf("stream")); got != 0 {
		t.Errorf("%d ends are still held against the request", got)
	}
	report, _ := te.entry.witness.Take()
	if len(report.Ends) != 0 || len(report.Alive) != 2 {
		t.Errorf("report %+v", report)
	}
}
