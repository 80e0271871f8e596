package suspicion

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/request/ends"
	"egretproxy/internal/site/evidence"
	"egretproxy/internal/site/quarantine"
)

// reportEnd reports an end under the request some time after it.
func (j *Judge) reportEnd(n int, age time.Duration, request id.PromptPart) {
	j.Add(evidence.Report{Ends: []evidence.End{{
		Target: id.Target(fmt.Sprint(n)), Born: 1, Requests: []id.PromptPart{request}, AgeMs: age.Milliseconds(),
	}}})
}

// settle lets entries object, and returns the verdict that is due.
func (j *Judge) settle() *quarantine.Verdict {
	j.Verdict(nil)
	time.Sleep(objectionTime + 50*time.Millisecond)
	v, _ := j.Verdict(nil)
	return v
}

// TestHoldsLateReportsAreOneMoment guards against a verdict on a request that was at
// several engines of a failure domain when it was lost, after entries have reported
// these one after the other; and against none if the engines ended one after the other
// and all entries report it late, or in another order.
func TestHoldsLateReportsAreOneMoment(t *testing.T) {
	for name, c := range map[string]struct {
		// endedAt are the times of the ends in the order of the reports, which come
		// every 100 ms from 400 ms on.
		endedAt []time.Duration
		verdict bool
	}{
		"at once":          {[]time.Duration{0, 0, 0, 0, 0}, false},
		"within 40 ms":     {[]time.Duration{40 * time.Millisecond, 0, 20 * time.Millisecond, 10 * time.Millisecond}, false},
		"one by one":       {[]time.Duration{0, 100 * time.Millisecond, 200 * time.Millisecond}, true},
		"in another order": {[]time.Duration{300 * time.Millisecond, 200 * time.Millisecond, 100 * time.Millisecond}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var j Judge
				began := time.Now()
				time.Sleep(400 * time.Millisecond)
				for n, at := range c.endedAt {
					j.reportEnd(n, time.Since(began)-at, "request:long")
					j.Verdict(nil)
					time.Sleep(100 * time.Millisecond)
				}
				if v := j.settle(); (v != nil) != c.verdict {
					t.Errorf("verdict %v", v)
				}
			})
		})
	}
}

// TestHoldsEarlyResponseClearsOlderEnds guards against a verdict on a request to which
// a response came to its end after its ends, but was reported before them. It clears
// no later ends.
func TestHoldsEarlyResponseClearsOlderEnds(t *testing.T) {
	for name, c := range map[string]struct {
		delay, age time.Duration
		verdict    bool
	}{
		"older ends":       {time.Second, 1500 * time.Millisecond, false},
		"later ends":       {time.Second, 500 * time.Millisecond, true},
		"earlier versions": {time.Second, 0, true},
		"long after":       {earlyTime + time.Second, earlyTime + 1500*time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var j Judge
				time.Sleep(10 * time.Second)
				j.Add(evidence.Report{Begun: []evidence.Begun{{Part: "request:p"}}})
				time.Sleep(c.delay)
				j.Add(evidence.Report{Begun: []evidence.Begun{{Part: "request:other"}}})
				for n := range 3 {
					j.reportEnd(n, c.age, "request:p")
					time.Sleep(100 * time.Millisecond)
				}
				if v := j.settle(); (v != nil) != c.verdict {
					t.Errorf("verdict %v", v)
				}
			})
		})
	}
}

// TestEndsAreSorted checks that ends which are reported late, in any order and also
// after others were forgotten, are in order of time, with the moments that go with it.
func TestEndsAreSorted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(1, 2))
		var j Judge
		check := func(all []*end) {
			t.Helper()
			for i := 1; i < len(all); i++ {
				a, b := all[i-1], all[i]
				if compareEnds(a, b) >= 0 || b.moment < a.moment || b.moment > a.moment && b.at == a.at || b.at.Sub(a.at) >= ends.MomentLength && b.moment == a.moment {
					t.Fatalf("ends at %s, %s of moments %d, %d", a.at, b.at, a.moment, b.moment)
				}
			}
		}
		for n := range 3 * maxEnds {
			age := time.Duration(random.IntN(4000)-200) * time.Millisecond
			j.reportEnd(n, age, id.PromptPart(fmt.Sprint("request:", n%7)))
			time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
			check(j.ends)
			for _, p := range j.parts {
				check(p.ends)
			}
		}
		if len(j.ends) != maxEnds {
			t.Errorf("%d ends", len(j.ends))
		}
		time.Sleep(ends.Retention)
		j.reportEnd(-1, 0, "request:last")
		j.reportEnd(-2, 2*ends.Retention, "request:old")
		if len(j.ends) != 1 || len(j.parts) != 1 {
			t.Errorf("%d ends, %d parts after a long time", len(j.ends), len(j.parts))
		}
	})
}

// TestEarlyResponsesAreBounded guards against responses on parts without end.
func TestEarlyResponsesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var j Judge
		for n := range 3 * maxEarly {
			j.Add(evidence.Report{Begun: []evidence.Begun{{Part: id.PromptPart(fmt.Sprint(n))}}})
		}
		if len(j.early) != maxEarly {
			t.Errorf("%d early responses", len(j.early))
		}
		time.Sleep(earlyTime + time.Second)
		j.Add(evidence.Report{Begun: []evidence.Begun{{Part: "last"}}})
		if len(j.early) != 1 || len(j.parts) != 0 {
			t.Errorf("%d early responses, %d parts", len(j.early), len(j.parts))
		}
	})
}
