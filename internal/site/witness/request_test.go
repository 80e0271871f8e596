package witness

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/site/evidence"
)

// TestMomentsCountOnce checks that the targets which a failure domain loses count as
// one end of a request that was at several, and that ends are forgotten.
func TestMomentsCountOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var w Witness
		const request = "request:1"
		for n, want := range []int{1, 1, 1} {
			w.RequestEnded(id.Target(fmt.Sprint("t", n)), 1, request)
			if got := w.RequestEnds(request); got != want {
				t.Errorf("%d moments after %d ends at once", got, n+1)
			}
		}
		time.Sleep(momentLength)
		w.RequestEnded("t3", 1, request)
		w.RequestEnded("t3", 1, request)
		if got := w.RequestEnds(request); got != 2 {
			t.Errorf("%d moments", got)
		}
		time.Sleep(endRetention + time.Second)
		if got := w.RequestEnds(request); got != 0 {
			t.Errorf("%d moments after a long time", got)
		}
		w.RequestEnded("t4", 1, request)
		if got := w.RequestEnds(request); got != 1 {
			t.Errorf("%d moments after the next", got)
		}
	})
}

// TestServedRequestIsReportedOnce checks that keepers learn of a whole response to a
// request that was at a target which ended, and of no other.
func TestServedRequestIsReportedOnce(t *testing.T) {
	var w Witness
	w.RequestServed("request:1")
	w.RequestEnded("t", 1, "request:1")
	w.RequestEnded("t", 1, "request:2")
	w.RequestServed("request:1")
	w.RequestServed("request:1")
	report, _ := w.Take()
	want := evidence.Report{
		Ends: []evidence.End{{
			Target: "t", Born: 1, Requests: []id.PromptPart{"request:1", "request:2"}, Served: []id.PromptPart{"request:1"},
		}},
		Begun: []evidence.Begun{{Part: "request:1"}},
	}
	if diff := cmp.Diff(want, report); diff != "" {
		t.Error(diff)
	}
	w.RequestServed("request:1")
	if report, _ = w.Take(); !report.Empty() {
		t.Errorf("report %+v without an end", report)
	}
}

// TestMemoryIsBounded guards against requests without end, and against requests that
// push out what is known of parts.
func TestMemoryIsBounded(t *testing.T) {
	var w Witness
	w.Begun([]id.PromptPart{"part"})
	for n := range 3 * maxRequests {
		d := id.PromptPart(fmt.Sprintf("request:%d", n))
		w.RequestServed(d)
		w.RequestEnded(id.Target(fmt.Sprint(n)), 1, d)
	}
	if len(w.requests.byPart) != maxRequests || w.requests.recent.Len() != maxRequests || len(w.ended.byPart) != maxEnded || w.ended.recent.Len() != maxEnded {
		t.Errorf("%d requests served, %d ended", len(w.requests.byPart), len(w.ended.byPart))
	}
	if !w.Known([]id.PromptPart{"part"}) {
		t.Error("the part is not known any more")
	}
	if w.size > maxPartsPerReport {
		t.Errorf("report of size %d", w.size)
	}
}
