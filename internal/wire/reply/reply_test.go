package reply_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"egretproxy/internal/wire/reply"
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
	steps := map[string]func(p *reply.Reply){
		"begin": func(p *reply.Reply) { p.Begin(http.StatusAccepted, func(http.Header) {}) },
		"send":  func(p *reply.Reply) { _ = p.Send([]byte("event")) },
		"rest":  func(p *reply.Reply) { _ = p.SendRest(strings.NewReader("rest")) },
		"cut": func(p *reply.Reply) {
			_ = p.SendRest(io.MultiReader(strings.NewReader("re"), iotest.ErrReader(errors.New("cut"))))
		},
		"end": func(p *reply.Reply) { p.End() },
		"respond": func(p *reply.Reply) {
			p.Respond(func(w http.ResponseWriter) { http.Error(w, "error", http.StatusBadGateway) })
		},
		"abort": func(p *reply.Reply) { p.Abort() },
	}
	for _, c := range []struct {
		steps string
		want  result
	}{
		{"", result{http.StatusOK, "", true, false}},
		{"abort", result{http.StatusOK, "", true, false}},
		{"respond", result{http.StatusBadGateway, "error\n", false, false}},
		{"begin end", result{http.StatusAccepted, "", false, false}},
		{"begin send send end", result{http.StatusAccepted, "eventevent", false, false}},
		{"begin rest", result{http.StatusAccepted, "rest", false, false}},
		{"begin", result{http.StatusAccepted, "", true, true}},
		{"begin send", result{http.StatusAccepted, "event", true, true}},
		{"begin begin", result{http.StatusAccepted, "", true, true}},
		{"begin send begin", result{http.StatusAccepted, "event", true, true}},
		{"begin send respond", result{http.StatusAccepted, "event", true, true}},
		{"begin send abort", result{http.StatusAccepted, "event", true, false}},
		{"begin cut", result{http.StatusAccepted, "re", true, true}},
		{"begin cut end", result{http.StatusAccepted, "re", true, false}},
		{"begin cut send", result{http.StatusAccepted, "re", true, false}},
		{"begin cut respond", result{http.StatusAccepted, "re", true, true}},
		{"send", result{http.StatusOK, "", true, false}},
		{"end", result{http.StatusOK, "", true, false}},
		{"rest", result{http.StatusOK, "", true, false}},
		{"begin end send", result{http.StatusAccepted, "", true, false}},
		{"begin end end", result{http.StatusAccepted, "", true, false}},
		{"begin end begin", result{http.StatusAccepted, "", true, false}},
		{"begin rest send", result{http.StatusAccepted, "rest", true, false}},
		{"begin rest respond", result{http.StatusAccepted, "rest", true, false}},
		{"respond respond", result{http.StatusBadGateway, "error\n", true, false}},
		{"respond send", result{http.StatusBadGateway, "error\n", true, false}},
	} {
		w := httptest.NewRecorder()
		got := result{}
		p := reply.New(w, func() { got.Lost = true })
		func() {
			defer func() { got.Aborted = recover() == http.ErrAbortHandler }()
			for step := range strings.FieldsSeq(c.steps) {
				steps[step](&p)
			}
			p.Close()
		}()
		got.Status, got.Body = w.Code, w.Body.String()
		if d := cmp.Diff(c.want, got); d != "" {
			t.Errorf("%q (-want +got):\n%s", c.steps, d)
		}
	}
}
