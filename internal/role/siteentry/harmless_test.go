package siteentry

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// respondStatus returns a script that responds with a status and a whole body.
func respondStatus(status string) func(io.Writer, *http.Request) {
	return func(w io.Writer, r *http.Request) {
		_, _ = io.WriteString(w, head(r, status, "Content-Length: 2")+"no")
	}
}

// TestHoldsWholeResponseOfAnyStatusClears guards against a verdict on a request that
// fails, or whose responses are errors, but ends no target. A refusal and a failure
// that breaks off show nothing.
func TestHoldsWholeResponseOfAnyStatusClears(t *testing.T) {
	truncated := func(w io.Writer, r *http.Request) {
		_, _ = io.WriteString(w, head(r, "500 Internal Server Error", "Content-Length: 100")+"part")
	}
	for name, c := range map[string]struct {
		host   string
		script func(io.Writer, *http.Request)
		ends   int
	}{
		"200":                   {"once", respondStatus("200 OK"), 0},
		"404":                   {"once", respondStatus("404 Not Found"), 0},
		"500":                   {"once", respondStatus("500 Internal Server Error"), 0},
		"500, repeatable":       {"read", respondStatus("500 Internal Server Error"), 0},
		"500 of a stream":       {"stream", respondStatus("500 Internal Server Error"), 0},
		"declined":              {"once", declines, 1},
		"truncated 500":         {"once", truncated, 2},
		"truncated 500, repeat": {"single", truncated, 2},
	} {
		t.Run(name, func(t *testing.T) {
			_, address := startTarget(t, c.script)
			te := startEntry(t, address)
			te.entry.witness.RequestEnded("x", 1, digestOf(c.host), time.Now())
			time.Sleep(60 * time.Millisecond)
			res, body, err := te.call(t, c.host)
			if n := te.entry.witness.RequestEnds(digestOf(c.host)); n != c.ends {
				t.Errorf("%d ends, want %d, after response %v, body %q, error %v", n, c.ends, res, body, err)
			}
		})
	}
}

// TestHoldsHarmlessRunClears guards against a verdict on a stream that never ends, such
// as a feed which many callers follow, when its engines are replaced one after the
// other.
func TestHoldsHarmlessRunClears(t *testing.T) {
	// feed sends events for a time, and nothing for a rest.
	feed := func(length, rest time.Duration) func(io.Writer, *http.Request) {
		return func(w io.Writer, r *http.Request) {
			_, _ = io.WriteString(w, head(r, "200 OK", "Transfer-Encoding: chunked"))
			began := time.Now()
			for n := 1; time.Since(began) < length; n++ {
				if _, err := io.WriteString(w, chunk(event(n))); err != nil {
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
			time.Sleep(rest)
		}
	}
	const long = harmlessTime + 300*time.Millisecond
	for name, c := range map[string]struct {
		script   func(io.Writer, *http.Request)
		deadline string
		leaves   time.Duration
		ends     int
	}{
		"caller leaves":      {feed(time.Minute, 0), "20000", long, 0},
		"time-out":           {feed(time.Minute, 0), "2500", time.Minute, 0},
		"caller leaves soon": {feed(time.Minute, 0), "20000", harmlessTime / 2, 1},
		"no event":           {feed(0, time.Minute), "20000", long, 1},
		"target ends":        {feed(long, 0), "20000", time.Minute, 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, address := startTarget(t, c.script)
			te := startEntry(t, address)
			te.entry.witness.RequestEnded("x", 1, digestOf("single"), time.Now())
			time.Sleep(60 * time.Millisecond)
			ctx, cancel := context.WithTimeout(t.Context(), c.leaves)
			defer cancel()
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, te.URL+"/x?q=1", strings.NewReader("body"))
			if err != nil {
				t.Fatal(err)
			}
			r.Host = "single"
			r.Header = http.Header{"Attempt": {"a1"}, "Key": {"secret"}, "Deadline": {c.deadline}}
			if res, err := te.Client().Do(r); err == nil {
				_, _ = io.Copy(io.Discard, res.Body)
				_ = res.Body.Close()
			}
			for te.entry.active.Load() > 0 {
				time.Sleep(time.Millisecond)
			}
			if n := te.entry.witness.RequestEnds(digestOf("single")); n != c.ends {
				t.Errorf("%d ends, want %d", n, c.ends)
			}
		})
	}
}
