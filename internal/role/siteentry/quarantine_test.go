package siteentry

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/boottime"
	"egretproxy/internal/site/evidence"
	"egretproxy/internal/site/quarantine"
	"egretproxy/internal/site/siteclient"
)

// fakeKeepers grants tests and drops reports.
type fakeKeepers struct{ granted int }

func (k *fakeKeepers) Report(context.Context, evidence.Report) error { return nil }

func (k *fakeKeepers) TakeTest(context.Context, *siteclient.Verdict, string) bool {
	k.granted++
	return k.granted == 1
}

// shutOut puts a verdict of an age in force.
func (te *testEntry) shutOut(age time.Duration, parts ...id.PromptPart) {
	v := *te.views.view
	v.Quarantine = []siteclient.Verdict{{
		Verdict: quarantine.Verdict{Parts: parts, Ends: 3}, ChangedAt: boottime.Now() - age,
	}}
	te.views.view = &v
	te.entry.OnView(&v)
}

func streams(events ...int) func(io.Writer, *http.Request) {
	return func(w io.Writer, r *http.Request) {
		text := head(r, "200 OK", "Transfer-Encoding: chunked")
		for _, n := range events {
			text += chunk(event(n))
		}
		_, _ = io.WriteString(w, text+"0\r\n\r\n")
	}
}

// endsAtOnce sends the header of a stream and a part of its first event.
func endsAtOnce(w io.Writer, r *http.Request) {
	_, _ = io.WriteString(w, head(r, "200 OK", "Transfer-Encoding: chunked")+chunk("id: 1\nda"))
}

// TestHoldsShutOutRequestIsRefusedAtOnce guards against sending requests to
// engines that end with one of their parts, and against refusing others.
func TestHoldsShutOutRequestIsRefusedAtOnce(t *testing.T) {
	for prompt, want := range map[string]int{
		"a:1,bad:2,own:3":  http.StatusServiceUnavailable,
		"bad:1,own:3":      http.StatusServiceUnavailable,
		"a:1, 0BAD:2,o:3":  http.StatusServiceUnavailable,
		"a:1,own:3,bad:2":  http.StatusOK,
		"a:1,b:2,own:3":    http.StatusOK,
		"":                 http.StatusOK,
		"bad:2":            http.StatusOK,
		"pair:1,own:3":     http.StatusOK,
		"a:1,twin:1,own:3": http.StatusOK,
	} {
		target, address := startTarget(t, streams(1, 2))
		te := startEntry(t, address)
		te.shutOut(0, "bad")
		te.views.view.Quarantine = append(te.views.view.Quarantine, siteclient.Verdict{
			Verdict: quarantine.Verdict{Parts: []id.PromptPart{"pair", "twin"}}, ChangedAt: boottime.Now(),
		})
		began := time.Now()
		res, _, err := te.call(t, "stream", "Prompt", prompt)
		if err != nil || res.StatusCode != want {
			t.Errorf("%q: got response %v, error %v, want status %d", prompt, res, err, want)
			continue
		}
		if want == http.StatusOK {
			continue
		}
		after, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
		if n := len(target.requests()); n != 0 || after < 1 || time.Since(began) > time.Second {
			t.Errorf("%q: %d requests were sent, Retry-After %v", prompt, n, after)
		}
	}
}

// TestHoldsSuspectGoesToNoSecondTarget guards against the request that ended one
// engine ending a second one, and against giving up the requests beside it.
func TestHoldsSuspectGoesToNoSecondTarget(t *testing.T) {
	for name, c := range map[string]struct {
		known, suspects []id.PromptPart
		want            int
	}{
		"suspect":                    {nil, []id.PromptPart{"bad"}, http.StatusBadGateway},
		"responses began before":     {[]id.PromptPart{"a", "bad"}, nil, http.StatusOK},
		"began before, now suspect":  {[]id.PromptPart{"a", "bad"}, []id.PromptPart{"bad"}, http.StatusBadGateway},
		"nothing known, one end":     {nil, nil, http.StatusOK},
		"another part is suspected":  {nil, []id.PromptPart{"other"}, http.StatusOK},
		"known, another is a supect": {[]id.PromptPart{"a", "bad"}, []id.PromptPart{"other"}, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			_, a1 := startTarget(t, endsAtOnce)
			second, a2 := startTarget(t, streams(1, 2))
			te := startEntry(t, a1, a2)
			te.entry.witness.Begun(c.known)
			suspects := map[id.PromptPart]time.Time{}
			for _, p := range c.suspects {
				suspects[p] = time.Now()
			}
			te.entry.OnSuspects(suspects)
			res, _, err := te.call(t, "stream", "Prompt", "a:1,bad:2,own:3")
			if err != nil || res.StatusCode != c.want {
				t.Fatalf("got response %v, error %v, want status %d", res, err, c.want)
			}
			if n := len(second.requests()); (n > 0) != (c.want == http.StatusOK) {
				t.Errorf("the second target got %d requests", n)
			}
			report, _ := te.entry.witness.Take()
			if len(report.Ends) != 1 || report.Ends[0].Target != "t0" || len(report.Ends[0].Fresh)+len(report.Ends[0].Known) != 2 {
				t.Errorf("report %+v", report)
			}
		})
	}
}

// TestHoldsTestNamesOnlyItsVerdict guards against a request that tests the verdict on
// one of its parts while another one ends engines.
func TestHoldsTestNamesOnlyItsVerdict(t *testing.T) {
	target, address := startTarget(t, streams(1, 2))
	te := startEntry(t, address)
	keepers := &fakeKeepers{}
	te.entry.Keepers = keepers
	te.shutOut(3*time.Second, "bad")
	te.views.view.Quarantine = append(te.views.view.Quarantine, siteclient.Verdict{
		Verdict: quarantine.Verdict{Parts: []id.PromptPart{"f00d"}}, ChangedAt: boottime.Now() - time.Hour,
	})
	res, _, err := te.call(t, "stream", "Prompt", "bad:1,f00d:2,own:3")
	if err != nil || res.StatusCode != http.StatusServiceUnavailable || keepers.granted != 0 || len(target.requests()) != 0 {
		t.Errorf("got response %v, error %v, %d tests requested", res, err, keepers.granted)
	}
}

// TestVerdictIsTestedOnce guards against a verdict on a harmless part that stays
// for good, and against more than one request that tests it.
func TestVerdictIsTestedOnce(t *testing.T) {
	target, address := startTarget(t, streams(1, 2))
	te := startEntry(t, address)
	keepers := &fakeKeepers{}
	te.entry.Keepers = keepers
	te.shutOut(time.Second, "bad")
	for i, want := range []int{http.StatusServiceUnavailable, http.StatusOK, http.StatusServiceUnavailable} {
		if i == 1 {
			te.shutOut(3*time.Second, "bad")
		}
		if res, _, err := te.call(t, "stream", "Prompt", "bad:1,own:3"); err != nil || res.StatusCode != want {
			t.Errorf("request %d: got response %v, error %v", i, res, err)
		}
	}
	if n := len(target.requests()); n != 1 || keepers.granted != 2 {
		t.Errorf("%d requests were sent, %d tests requested", n, keepers.granted)
	}
	report := te.takeReport(t)
	want := evidence.Report{Begun: []evidence.Begun{{Part: "bad"}, {Part: "bad", Harmless: true}}}
	if diff := cmp.Diff(want, report); diff != "" {
		t.Error(diff)
	}
}

// TestHoldsBrokenTestKeepsVerdict guards against a response that begins, and then ends its
// target, readmitting the part that it tests, and against sending that request to another
// target.
func TestHoldsBrokenTestKeepsVerdict(t *testing.T) {
	_, a1 := startTarget(t, endsAfter(3))
	second, a2 := startTarget(t, streams(4, 5))
	te := startEntry(t, a1, a2)
	te.entry.Keepers = &fakeKeepers{}
	te.shutOut(3*time.Second, "bad")
	if res, body, err := te.call(t, "stream", "Prompt", "bad:1,own:3"); err == nil && strings.HasSuffix(body, event(5)) {
		t.Errorf("got response %v", res)
	}
	if n := len(second.requests()); n != 0 {
		t.Errorf("the second target got %d requests", n)
	}
	report := te.takeReport(t)
	want := evidence.Report{
		Ends: []evidence.End{{
			Target: "t0", Born: 1, Begun: []id.PromptPart{"bad"}, Requests: []id.PromptPart{digestOf("stream", "Prompt", "bad:1,own:3")},
		}},
		Begun: []evidence.Begun{{Part: "bad"}},
	}
	if diff := cmp.Diff(want, report); diff != "" {
		t.Error(diff)
	}
}
