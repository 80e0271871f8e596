package siteentry

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/boottime"
	"egretproxy/internal/request/digest"
	"egretproxy/internal/site/evidence"
	"egretproxy/internal/site/quarantine"
	"egretproxy/internal/site/siteclient"
)

// digestOf returns the digest of the request that call sends to a host with fields, of
// which it counts a prompt that comes first.
func digestOf(host string, fields ...string) id.PromptPart {
	prompt := ""
	if len(fields) > 1 && fields[0] == "Prompt" {
		prompt = fields[1]
	}
	r := digest.Request{Method: http.MethodPost, Host: host, URI: "/x?q=1", Organisation: "org", Prompt: prompt, Body: []byte("body")}
	return r.Digest()
}

// takeReport returns the evidence of the entry without its ages, which it checks.
func (te *testEntry) takeReport(t *testing.T) evidence.Report {
	t.Helper()
	report, _ := te.entry.witness.Take()
	var ages []*int64
	for i := range report.Ends {
		ages = append(ages, &report.Ends[i].AgeMs)
	}
	for i := range report.Begun {
		ages = append(ages, &report.Begun[i].AgeMs)
	}
	for _, age := range ages {
		if *age < 0 || *age > 10_000 {
			t.Errorf("age of %d ms in report %+v", *age, report)
		}
		*age = 0
	}
	return report
}

// endsAfter sends events of a stream and a part of the next.
func endsAfter(events int) func(io.Writer, *http.Request) {
	return func(w io.Writer, r *http.Request) {
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		text := head(r, "200 OK", "Transfer-Encoding: chunked")
		for n := last + 1; n <= last+events; n++ {
			text += chunk(event(n))
		}
		_, _ = io.WriteString(w, text+chunk("id: 9\nda"))
	}
}

// TestHoldsShutOutDigestIsRefusedAtOnce guards against sending on a request that ends
// its engines, on a plain route as well, and against refusing one that differs.
func TestHoldsShutOutDigestIsRefusedAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		host   string
		fields []string
		want   int
	}{
		"plain":              {"read", nil, http.StatusServiceUnavailable},
		"may run once":       {"once", nil, http.StatusServiceUnavailable},
		"other deadline":     {"read", []string{"Deadline", "1000", "Attempt", "a2", "Priority", "7"}, http.StatusServiceUnavailable},
		"other prompt":       {"read", []string{"Prompt", "a:1,b:2"}, http.StatusOK},
		"other organisation": {"read", []string{"Key", "other"}, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			target, address := startTarget(t, respondWith("ok"))
			te := startEntry(t, address)
			te.plan.Tenants = append(te.plan.Tenants, te.plan.Tenants[0])
			te.plan.Tenants[1].Name, te.plan.Tenants[1].Keys = "other", []string{"other"}
			if err := te.plan.Index(); err != nil {
				t.Fatal(err)
			}
			te.shutOut(0, digestOf(c.host))
			res, _, err := te.call(t, c.host, c.fields...)
			if err != nil || res.StatusCode != c.want {
				t.Fatalf("got response %v, error %v, want status %d", res, err, c.want)
			}
			if n := len(target.requests()); (n > 0) != (c.want == http.StatusOK) {
				t.Errorf("%d requests were sent", n)
			}
			after, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
			if c.want != http.StatusOK && (after < 59 || after > 62) {
				t.Errorf("Retry-After is %v s", after)
			}
		})
	}
}

// TestHoldsRequestEndsTwoTargetsAtMost guards against an entry that sends a request to
// a third target after two have ended under it, whether responses had begun or not,
// and against giving up a request that was at one end, or at two with a whole response
// between.
func TestHoldsRequestEndsTwoTargetsAtMost(t *testing.T) {
	for name, c := range map[string]struct {
		first   func(io.Writer, *http.Request)
		before  []string
		verdict bool
		served  bool
	}{
		"one end":                            {first: endsAfter(0), served: true},
		"one end, after events":              {first: endsAfter(3), served: true},
		"two ends":                           {first: endsAfter(0), before: []string{"x"}},
		"two ends, after events":             {first: endsAfter(3), before: []string{"x"}},
		"the same incarnation twice":         {first: endsAfter(0), before: []string{"t0"}, served: true},
		"two ends, a whole response between": {first: endsAfter(0), before: []string{"x", ""}, served: true},
		"one end, and shut out meanwhile":    {first: endsAfter(3), verdict: true},
	} {
		t.Run(name, func(t *testing.T) {
			var te *testEntry
			_, a1 := startTarget(t, func(w io.Writer, r *http.Request) {
				if c.verdict {
					te.shutOut(0, digestOf("stream"))
				}
				c.first(w, r)
			})
			second, a2 := startTarget(t, streams(4, 5))
			te = startEntry(t, a1, a2)
			for _, target := range c.before {
				if target == "" {
					te.entry.witness.RequestServed(digestOf("stream"))
					continue
				}
				te.entry.witness.RequestEnded(id.Target(target), 1, digestOf("stream"), time.Now())
			}
			res, body, err := te.call(t, "stream")
			served := err == nil && res.StatusCode == http.StatusOK && strings.HasSuffix(body, event(5))
			if served != c.served || len(second.requests()) > 0 != c.served {
				t.Errorf("got response %v, body %q, error %v; the second target got %d requests", res, body, err, len(second.requests()))
			}
			if !served && err == nil && res.StatusCode != http.StatusBadGateway {
				t.Errorf("status %d for a request that may have run", res.StatusCode)
			}
		})
	}
}

// TestRequestEvidence checks what an entry reports of a request without parts: that its
// target ended, also after the response began, and that a later response came to its
// end.
func TestRequestEvidence(t *testing.T) {
	_, a1 := startTarget(t, endsAfter(3))
	_, a2 := startTarget(t, streams(4, 5))
	te := startEntry(t, a1, a2)
	if _, _, err := te.call(t, "stream"); err != nil {
		t.Fatal(err)
	}
	report := te.takeReport(t)
	want := evidence.Report{
		Ends:  []evidence.End{{Target: "t0", Born: 1, Requests: []id.PromptPart{digestOf("stream")}}},
		Begun: []evidence.Begun{{Part: digestOf("stream")}},
	}
	if diff := cmp.Diff(want, report); diff != "" {
		t.Error(diff)
	}
}

// TestBrokenStreamIsReported guards against a stream that may not be resumed, whose
// caller is cut off, and whose end nobody reports.
func TestBrokenStreamIsReported(t *testing.T) {
	_, a1 := startTarget(t, endsAfter(3))
	te := startEntry(t, a1)
	if _, _, err := te.call(t, "cut"); err == nil {
		t.Fatal("the stream looks complete")
	}
	report, _ := te.entry.witness.Take()
	if len(report.Ends) != 1 || !slices.Equal(report.Ends[0].Requests, []id.PromptPart{digestOf("cut")}) {
		t.Errorf("report %+v", report)
	}
}

// TestRequestVerdictIsTested checks that one request tests a verdict on its digest a
// minute later, and that it goes to no second target.
func TestRequestVerdictIsTested(t *testing.T) {
	first, a1 := startTarget(t, truncates)
	second, a2 := startTarget(t, respondWith("ok"))
	te := startEntry(t, a1, a2)
	keepers := &fakeKeepers{}
	te.entry.Keepers = keepers
	for _, age := range []time.Duration{59 * time.Second, 61 * time.Second, 61 * time.Second} {
		v := *te.views.view
		v.Quarantine = []siteclient.Verdict{{
			Verdict: quarantine.Verdict{Parts: []id.PromptPart{digestOf("read")}, Ends: 3}, ChangedAt: boottime.Now() - age,
		}}
		te.views.view = &v
		if res, body, err := te.call(t, "read"); err != nil || res.StatusCode == http.StatusOK {
			t.Errorf("got response %v, body %q, error %v", res, body, err)
		}
	}
	if len(first.requests()) != 1 || len(second.requests()) != 0 || keepers.granted != 2 {
		t.Errorf("the targets got %d and %d requests, %d tests were requested", len(first.requests()), len(second.requests()), keepers.granted)
	}
}

// TestHoldsBrokenLongResponseIsReported guards against the end of a target under a
// response that is forwarded as it arrives, which nobody reports, and against the end of
// its caller being taken for one.
func TestHoldsBrokenLongResponseIsReported(t *testing.T) {
	const length = maxBufferedBytes * 2
	for name, c := range map[string]struct {
		callerLeaves bool
		want         []id.PromptPart
	}{"target ends": {false, []id.PromptPart{digestOf("read")}}, "caller leaves": {true, nil}} {
		t.Run(name, func(t *testing.T) {
			left := make(chan struct{})
			_, address := startTarget(t, func(w io.Writer, r *http.Request) {
				_, _ = io.WriteString(w, head(r, "200 OK", "Content-Length: "+strconv.Itoa(length)))
				_, _ = w.Write(make([]byte, length/2))
				if c.callerLeaves {
					<-left
					_, _ = w.Write(make([]byte, length/2))
				}
			})
			te := startEntry(t, address)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, te.URL+"/x?q=1", strings.NewReader("body"))
			if err != nil {
				t.Fatal(err)
			}
			r.Host = "read"
			r.Header.Set("Attempt", "a1")
			r.Header.Set("Key", "secret")
			res, err := te.Client().Do(r)
			if err != nil {
				t.Fatal(err)
			}
			if c.callerLeaves {
				cancel()
				close(left)
			}
			if _, err := io.ReadAll(res.Body); err == nil {
				t.Error("the response looks complete")
			}
			_ = res.Body.Close()
			for te.entry.active.Load() > 0 {
				time.Sleep(time.Millisecond)
			}
			report, _ := te.entry.witness.Take()
			var got []id.PromptPart
			for _, e := range report.Ends {
				got = append(got, e.Requests...)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
