package witness

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/site/evidence"
)

// TestHoldsLivingTargetIsReported checks that an end which is taken back is reported no
// more, and that keepers who may have a report of it learn that.
func TestHoldsLivingTargetIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var w Witness
		w.RequestEnded("t1", 1, "request:1", time.Now())
		w.Ended("t1", 1, []id.PromptPart{"part"})
		w.RequestEnded("t2", 1, "request:1", time.Now())
		lived := time.Now()
		time.Sleep(30 * time.Millisecond)
		w.LivesOn("t1", 1, lived)
		report, _ := w.Take()
		want := evidence.Report{
			Ends:  []evidence.End{{Target: "t2", Born: 1, Requests: []id.PromptPart{"request:1"}, AgeMs: 30}},
			Alive: []evidence.Alive{{Target: "t1", Born: 1, AgeMs: 30}},
		}
		if diff := cmp.Diff(want, report); diff != "" {
			t.Error(diff)
		}
		for range 3 * maxPartsPerReport {
			w.LivesOn("t1", 1, lived)
		}
		if report, _ = w.Take(); len(report.Alive) != maxPartsPerReport {
			t.Errorf("%d in a report", len(report.Alive))
		}
	})
}
