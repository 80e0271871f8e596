package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
)

// TestHoldsLateStartsWaitForNewWeights guards against requests that begin on an older
// version of weights after it was to be replaced: they were sent in time, and waited
// at a busy engine. Targets where requests start soon still serve.
func TestHoldsLateStartsWaitForNewWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(settings())
		d.Update(site(1, 1))
		acquire := func(left time.Duration) (*Grant, error) {
			return d.Acquire(t.Context(), &Request{Service: "llm", NewerWeights: 2, StartBy: time.Now().Add(left)})
		}
		first, err := acquire(time.Second)
		if err != nil {
			t.Fatal("an idle engine gets no request: ", err)
		}
		time.Sleep(900 * time.Millisecond)
		if _, err := acquire(time.Second); !errors.Is(err, ErrNoTarget) {
			t.Errorf("while a request waits for 0.9 s: error %v, want %v", err, ErrNoTarget)
		}
		first.RecordFirstEvent()
		first.End(Served)
		if _, err := acquire(time.Second); !errors.Is(err, ErrNoTarget) {
			t.Errorf("after one that waited for 0.9 s: error %v, want %v", err, ErrNoTarget)
		}
		if g, err := acquire(2 * time.Second); err != nil {
			t.Error("with enough time left: ", err)
		} else {
			time.Sleep(100 * time.Millisecond)
			g.RecordFirstEvent()
			g.End(Served)
		}
		time.Sleep(2 * startWindow)
		if g, err := acquire(time.Second); err != nil {
			t.Error("once requests start at once again: ", err)
		} else {
			g.End(Served)
		}
	})
}

// TestHoldsNewWeightsServeBesideLateStarts checks that the time left on older weights
// doesn't concern engines that hold the newer ones.
func TestHoldsNewWeightsServeBesideLateStarts(t *testing.T) {
	d := New(settings())
	v := site(1, 1)
	target := v.Targets["e0"]
	target.Weights = 2
	v.Targets["e0"] = target
	d.Update(v)
	if _, err := d.Acquire(t.Context(), &Request{Service: "llm", NewerWeights: 2, StartBy: time.Now().Add(-time.Second)}); err != nil {
		t.Error(err)
	}
}
