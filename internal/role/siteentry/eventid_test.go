package siteentry

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// streamOf returns an answer with the given parts of a stream, which is whole if its
// last part is "end".
func streamOf(parts ...string) func(w io.Writer, r *http.Request) {
	return func(w io.Writer, r *http.Request) {
		_, _ = io.WriteString(w, head(r, "200 OK", "Transfer-Encoding: chunked"))
		for _, part := range parts {
			if part == "end" {
				_, _ = io.WriteString(w, "0\r\n\r\n")
				continue
			}
			_, _ = io.WriteString(w, chunk(part))
		}
	}
}

// TestHoldsEventsWithoutIDComeOnce guards against a stream that goes on at another
// target although its last events carry no id, so that they come twice, and against
// one that is cut because a comment has no id.
func TestHoldsEventsWithoutIDComeOnce(t *testing.T) {
	const bare, other, comment = "data: bare\n\n", "data: other\n\n", ": ok\n\n"
	for name, c := range map[string]struct {
		first, second []string
		// after is the event after which the second run goes on, "none" without a
		// second run.
		after string
		want  string
		whole bool
	}{
		"no ids":                       {[]string{bare, other}, []string{bare, other, "end"}, "none", bare + other, false},
		"id, then none":                {[]string{event(1), bare}, []string{bare, event(2), "end"}, "none", event(1) + bare, false},
		"none, then id":                {[]string{bare, event(1)}, []string{event(2), "end"}, "1", bare + event(1) + event(2), true},
		"id, none, id":                 {[]string{event(1), bare, event(2)}, []string{event(3), bare, "end"}, "2", event(1) + bare + event(2) + event(3) + bare, true},
		"comments in the second run":   {[]string{event(1)}, []string{comment, event(2), comment, event(3), comment, "end"}, "1", event(1) + event(2) + comment + event(3) + comment, true},
		"second run without ids":       {[]string{event(1)}, []string{bare, "end"}, "1", event(1), false},
		"second run begins without id": {[]string{event(1)}, []string{bare, event(2), "end"}, "1", event(1), false},
		"second run repeats the event": {[]string{"id: a\ndata: x\n\n"}, []string{"id: a\ndata: x\n\n", "end"}, "a", "id: a\ndata: x\n\n", false},
		"whole, without ids":           {[]string{bare, other, "end"}, nil, "none", bare + other, true},
		"whole, some ids":              {[]string{event(1), bare, event(2), "end"}, nil, "none", event(1) + bare + event(2), true},
		"whole, comments":              {[]string{comment, event(1), comment, event(2), comment, "end"}, nil, "none", comment + event(1) + comment + event(2) + comment, true},
		"comment, then cut":            {[]string{event(1), comment}, []string{event(2), "end"}, "1", event(1) + comment + event(2), true},
		"comment alone, then cut":      {[]string{comment}, []string{event(8), "end"}, "7", comment + event(8), true},
	} {
		t.Run(name, func(t *testing.T) {
			_, a1 := startTarget(t, streamOf(c.first...))
			second, a2 := startTarget(t, streamOf(c.second...))
			te := startEntry(t, a1, a2)
			var fields []string
			if c.after == "7" {
				fields = []string{"Last-Event-Id", "7"}
			}
			res, body, err := te.call(t, "stream", fields...)
			if res == nil || res.StatusCode != http.StatusOK || body != c.want || (err == nil) != c.whole {
				t.Errorf("got response %v, body %q, want %q, error %v", res, body, c.want, err)
			}
			after := "none"
			if seen := second.requests(); len(seen) > 0 {
				after = seen[0].Header.Get("Last-Event-Id")
			}
			if after != c.after {
				t.Errorf("the second run goes on after %q, want %q", after, c.after)
			}
		})
	}
}

// TestHoldsSilenceEndsNoStreamWithoutIDs guards against a stream that is given up
// for a pause although no other target can continue it.
func TestHoldsSilenceEndsNoStreamWithoutIDs(t *testing.T) {
	const bare, rest = "data: bare\n\n", "data: rest\n\n"
	_, a1 := startTarget(t, func(w io.Writer, r *http.Request) {
		streamOf(bare)(w, r)
		time.Sleep(minSilence + 2*reserveRetryInterval)
		_, _ = io.WriteString(w, chunk(rest)+"0\r\n\r\n")
	})
	second, a2 := startTarget(t, streamOf(bare, rest, "end"))
	te := startEntry(t, a1, a2)
	_, body, err := te.call(t, "stream")
	if err != nil || body != bare+rest || len(second.requests()) != 0 {
		t.Errorf("got body %q, error %v, %d requests at the second target", strings.TrimSpace(body), err, len(second.requests()))
	}
}

// TestStreamAfterACommentNeedsNoIDs guards against a sound stream that is cut, or whose
// target is blamed, because its caller has a comment of an earlier run and no event:
// there is nothing that an id would have to follow.
func TestStreamAfterACommentNeedsNoIDs(t *testing.T) {
	for name, rest := range map[string]string{"event": "data: x\n\n", "nothing": ""} {
		t.Run(name, func(t *testing.T) {
			_, a1 := startTarget(t, func(w io.Writer, r *http.Request) {
				_, _ = io.WriteString(w, head(r, "200 OK", "Transfer-Encoding: chunked")+chunk(": ok\n\n"))
			})
			_, a2 := startTarget(t, func(w io.Writer, r *http.Request) {
				body := ""
				if rest != "" {
					body = chunk(rest)
				}
				_, _ = io.WriteString(w, head(r, "200 OK", "Transfer-Encoding: chunked")+body+"0\r\n\r\n")
			})
			te := startEntry(t, a1, a2)
			res, body, err := te.call(t, "stream")
			if err != nil || res.StatusCode != http.StatusOK || body != ": ok\n\n"+rest {
				t.Errorf("got response %v, body %q, error %v", res, body, err)
			}
		})
	}
}
