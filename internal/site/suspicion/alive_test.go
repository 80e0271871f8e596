package suspicion

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/site/evidence"
)

// TestHoldsLivingTargetsConvictNothing guards against a verdict on requests that targets
// broke off which went on, and checks that the targets which ended still convict.
func TestHoldsLivingTargetsConvictNothing(t *testing.T) {
	const request, part = "request:1", "part"
	endAt := func(n int) evidence.Report {
		return evidence.Report{Ends: []evidence.End{{
			Target: id.Target(fmt.Sprint("t", n)), Born: 1, Requests: []id.PromptPart{request}, Fresh: []id.PromptPart{part},
		}}}
	}
	lives := func(n int, age time.Duration) evidence.Report {
		return evidence.Report{Alive: []evidence.Alive{{Target: id.Target(fmt.Sprint("t", n)), Born: 1, AgeMs: age.Milliseconds()}}}
	}
	for name, c := range map[string]struct {
		// report is what entries report of the end n.
		report  func(j *Judge, n int)
		convict bool
	}{
		"all ended": {func(j *Judge, n int) { j.Add(endAt(n)) }, true},
		"all live on": {func(j *Judge, n int) {
			j.Add(endAt(n))
			time.Sleep(150 * time.Millisecond)
			j.Add(lives(n, 0))
		}, false},
		"other entry tells later": {func(j *Judge, n int) {
			j.Add(endAt(n))
			time.Sleep(150 * time.Millisecond)
			j.Add(lives(n, 0))
			late := endAt(n)
			late.Ends[0].AgeMs = 10
			j.Add(late)
		}, false},
		"lived before": {func(j *Judge, n int) {
			j.Add(endAt(n))
			time.Sleep(150 * time.Millisecond)
			j.Add(lives(n, 200*time.Millisecond))
		}, true},
		"ended afterwards": {func(j *Judge, n int) {
			j.Add(endAt(n))
			time.Sleep(150 * time.Millisecond)
			j.Add(lives(n, 50*time.Millisecond))
			j.Add(endAt(n))
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var j Judge
				for n := range 3 {
					c.report(&j, n)
					j.Verdict(nil)
					time.Sleep(time.Second)
				}
				v, _ := j.Verdict(nil)
				if (v != nil) != c.convict {
					t.Errorf("verdict %v", v)
				}
				if s, _ := j.Suspects(); !c.convict && (len(s) > 0 || len(j.ends) > 0 || len(j.parts) > 0) {
					t.Errorf("suspects %v, %d ends, %d parts", s, len(j.ends), len(j.parts))
				}
			})
		})
	}
}
