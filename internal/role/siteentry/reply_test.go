package siteentry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"egretproxy/internal/exchange/connpool"
)

// result is what a caller got of a response, and what became of it.
type result struct {
	Status        int
	Body          string
	Aborted, Lost bool
}

// TestHoldsReplyEndsOnce guards against an ending that does not fit what the caller
// has: a header, a failure or a whole response after part of a stream, anything
// after the end, or a stream that the server completes because its handler returned.
func TestHoldsReplyEndsOnce(t *testing.T) {
	answer := func() *connpool.Response {
		return &connpool.Response{Status: http.StatusAccepted, Length: 4, Body: strings.NewReader("long")}
	}
	endings := map[string]func(p *reply){
		"event": func(p *reply) { _ = p.event(answer(), []byte("event")) },
		"end":   func(p *reply) { p.endStream(answer()) },
		"whole": func(p *reply) { p.whole(answer(), []byte("whole"), undeclared) },
		"long":  func(p *reply) { _ = p.long(answer()) },
		"error": func(p *reply) { p.error(http.StatusBadGateway, "error", nil) },
		"none":  func(*reply) {},
		"abort": func(p *reply) { p.abort() },
	}
	for _, c := range []struct {
		steps string
		want  result
	}{
		{"end", result{http.StatusAccepted, "", false, false}},
		{"whole", result{http.StatusAccepted, "whole", false, false}},
		{"long", result{http.StatusAccepted, "long", false, false}},
		{"error", result{http.StatusBadGateway, "error\n", false, false}},
		{"none", result{http.StatusOK, "", true, false}},
		{"abort", result{http.StatusOK, "", true, false}},
		{"event end", result{http.StatusAccepted, "event", false, false}},
		{"event event end", result{http.StatusAccepted, "eventevent", false, false}},
		{"event", result{http.StatusAccepted, "event", true, true}},
		{"event whole", result{http.StatusAccepted, "event", true, true}},
		{"event long", result{http.StatusAccepted, "event", true, true}},
		{"event error", result{http.StatusAccepted, "event", true, true}},
		{"event abort", result{http.StatusAccepted, "event", true, false}},
		{"end event", result{http.StatusAccepted, "", true, false}},
		{"end end", result{http.StatusAccepted, "", true, false}},
		{"whole whole", result{http.StatusAccepted, "whole", true, false}},
		{"whole event", result{http.StatusAccepted, "whole", true, false}},
		{"long error", result{http.StatusAccepted, "long", true, false}},
		{"error long", result{http.StatusBadGateway, "error\n", true, false}},
		{"error error", result{http.StatusBadGateway, "error\n", true, false}},
	} {
		w := httptest.NewRecorder()
		got := result{}
		p := &reply{w: w, lost: func() { got.Lost = true }}
		func() {
			defer func() { got.Aborted = recover() == http.ErrAbortHandler }()
			for step := range strings.FieldsSeq(c.steps) {
				endings[step](p)
			}
			p.close()
		}()
		got.Status, got.Body = w.Code, w.Body.String()
		if d := cmp.Diff(c.want, got); d != "" {
			t.Errorf("%s (-want +got):\n%s", c.steps, d)
		}
	}
}
