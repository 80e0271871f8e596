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

// TestServedRequestIsReportedOnce checks that keepers learn of a whole response to a
// request that was at a target which ended, and of no other.
func TestServedRequestIsReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var w Witness
		w.RequestServed("request:1")
		w.RequestEnded("t", 1, "request:1", time.Now())
		w.RequestEnded("t", 1, "request:2", time.Now())
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
	})
}

// TestReportTellsAges checks that a report dates what it tells by the clock of the
// entry: an end by when it was first seen, a response to a request by the last one.
func TestReportTellsAges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var w Witness
		w.RequestEnded("t1", 1, "request:1", time.Now())
		time.Sleep(10 * time.Millisecond)
		w.RequestServed("request:1")
		time.Sleep(20 * time.Millisecond)
		w.RequestEnded("t2", 1, "request:1", time.Now())
		w.Ended("t1", 1, []id.PromptPart{"part"})
		time.Sleep(40 * time.Millisecond)
		w.RequestServed("request:1")
		time.Sleep(80 * time.Millisecond)
		request := []id.PromptPart{"request:1"}
		want := evidence.Report{
			Ends: []evidence.End{
				{Target: "t1", Born: 1, Requests: request, Fresh: []id.PromptPart{"part"}, AgeMs: 150},
				{Target: "t2", Born: 1, Requests: request, Served: request, AgeMs: 120},
			},
			Begun: []evidence.Begun{{Part: "request:1", AgeMs: 80}},
		}
		report, _ := w.Take()
		if diff := cmp.Diff(want, report); diff != "" {
			t.Error(diff)
		}
		w.RequestEnded("t3", 1, "request:1", time.Now())
		time.Sleep(5 * time.Millisecond)
		if report, _ = w.Take(); len(report.Ends) != 1 || report.Ends[0].AgeMs != 5 {
			t.Errorf("report %+v", report)
		}
	})
}

// TestMemoryIsBounded guards against requests without end, and against requests that
// push out what is known of parts.
func TestMemoryIsBounded(t *testing.T) {
	var w Witness
	w.Begun([]id.PromptPart{"part"})
	for n := range 3 * maxRequests {
		d := id.PromptPart(fmt.Sprintf("request:%d", n))
		w.RequestServed(d)
		w.RequestEnded(id.Target(fmt.Sprint(n)), 1, d, time.Now())
	}
	if w.requests.Len() != maxRequests {
		t.Errorf("%d requests served", w.requests.Len())
	}
	if !w.Known([]id.PromptPart{"part"}) {
		t.Error("the part is not known any more")
	}
	if w.size > maxPartsPerReport {
		t.Errorf("report of size %d", w.size)
	}
}
