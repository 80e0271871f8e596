package incarnation

import (
	"testing"
	"testing/synctest"
	"time"

	"egretproxy/internal/fleet/id"
)

// TestHoldsAnnouncedAbortIsNoEnd checks which exchanges an announced abort explains:
// those of the incarnation that announced it, for a while.
func TestHoldsAnnouncedAbortIsNoEnd(t *testing.T) {
	for name, c := range map[string]struct {
		report Report
		after  time.Duration
		born   int64
		ended  bool
	}{
		"announced":         {report: Report{Born: 1, Aborts: true}, born: 1},
		"slightly later":    {report: Report{Born: 1, Aborts: true}, after: 200 * time.Millisecond, born: 1},
		"long ago":          {report: Report{Born: 1, Aborts: true}, after: time.Second, born: 1, ended: true},
		"next incarnation":  {report: Report{Born: 1, Aborts: true}, born: 2, ended: true},
		"none":              {report: Report{Born: 1}, born: 1, ended: true},
		"agent gets no say": {report: Report{Aborts: true}, born: 1, ended: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var r Register
				c.report.Target = "t"
				r.Observe(c.report)
				time.Sleep(c.after)
				if r.BrokeOff("t", c.born) != c.ended {
					t.Errorf("taken for an end: %t, want %t", !c.ended, c.ended)
				}
			})
		})
	}
}

// TestLostAgentEndsAbort guards against an end that an announced abort hides: the target
// has answered its agent no more.
func TestLostAgentEndsAbort(t *testing.T) {
	var r Register
	r.Observe(Report{Target: "t", Born: 1, Aborts: true})
	r.Observe(Report{Target: "t"})
	if !r.BrokeOff("t", 1) {
		t.Error("not taken for an end")
	}
}

// TestHoldsReportDisprovesEnd checks which reports show that a target lives on: those of
// the same incarnation whose state is later than the break.
func TestHoldsReportDisprovesEnd(t *testing.T) {
	for name, c := range map[string]struct {
		report    Report
		after     time.Duration
		disproved bool
	}{
		"later":                {Report{Target: "t", Born: 1, Age: 3 * time.Millisecond}, 200 * time.Millisecond, true},
		"sent before":          {Report{Target: "t", Born: 1, Age: 250 * time.Millisecond}, 200 * time.Millisecond, false},
		"state of before":      {Report{Target: "t", Born: 1}, 50 * time.Millisecond, false},
		"slow way":             {Report{Target: "t", Born: 1, Age: 250 * time.Millisecond}, 400 * time.Millisecond, true},
		"age is not known":     {Report{Target: "t", Born: 1, Age: -time.Hour}, 400 * time.Millisecond, false},
		"next incarnation":     {Report{Target: "t", Born: 2}, time.Second, false},
		"other target":         {Report{Target: "u", Born: 1}, time.Second, false},
		"target doesn't reply": {Report{Target: "t"}, time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var r Register
				r.BrokeOff("t", 1)
				began := time.Now()
				time.Sleep(c.after)
				disproved, lived := r.Observe(c.report)
				if disproved != c.disproved || disproved && !lived.After(began) {
					t.Errorf("disproved: %t, lived until %s", disproved, lived.Sub(began))
				}
				if again, _ := r.Observe(c.report); again {
					t.Error("disproved twice")
				}
			})
		})
	}
}

// TestMemoryIsBounded guards against targets without end.
func TestMemoryIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var r Register
		for n := range 1000 {
			r.BrokeOff(id.Target(rune('a'+n)), int64(n))
			time.Sleep(time.Second)
		}
		if len(r.broken) > 62 {
			t.Errorf("%d remembered", len(r.broken))
		}
	})
}
