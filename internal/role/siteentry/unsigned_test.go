package siteentry

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
)

// TestHoldsUnsignedSuccessIsNoAnswer guards against the success of a target that hands
// out wrong bytes and has spoilt the field of its signature (review case 9). It must not
// reach the caller: a request that may be repeated goes to another target, also in the
// middle of a stream, and the others get 502.
func TestHoldsUnsignedSuccessIsNoAnswer(t *testing.T) {
	spoil := func(script func(io.Writer, *http.Request)) func(io.Writer, *http.Request) {
		return func(w io.Writer, r *http.Request) {
			var b strings.Builder
			script(&b, r)
			_, _ = io.WriteString(w, strings.Replace(b.String(), "Signature:", "Signaturf:", 1))
		}
	}
	stream := func(events ...int) func(io.Writer, *http.Request) {
		var b strings.Builder
		for _, n := range events {
			b.WriteString(chunk(event(n)))
		}
		return func(w io.Writer, r *http.Request) {
			_, _ = io.WriteString(w, head(r, "200 OK", "Transfer-Encoding: chunked")+b.String()+"0\r\n\r\n")
		}
	}
	long := strings.Repeat("x", maxBufferedBytes+1)
	breaksOff := func(w io.Writer, r *http.Request) {
		_, _ = io.WriteString(w, head(r, "200 OK", "Transfer-Encoding: chunked")+chunk(event(1)))
	}
	for name, c := range map[string]struct {
		host    string
		scripts []func(io.Writer, *http.Request)
		status  int
		body    string
	}{
		"repeatable":          {"read", []func(io.Writer, *http.Request){spoil(respondWith("a")), respondWith("b")}, http.StatusOK, "b"},
		"repeatable, long":    {"read", []func(io.Writer, *http.Request){spoil(respondWith(long)), respondWith("b")}, http.StatusOK, "b"},
		"once":                {"once", []func(io.Writer, *http.Request){spoil(respondWith("a")), respondWith("b")}, http.StatusBadGateway, ""},
		"stream":              {"stream", []func(io.Writer, *http.Request){spoil(stream(1, 2)), stream(1, 2, 3)}, http.StatusOK, event(1) + event(2) + event(3)},
		"stream, once":        {"cut", []func(io.Writer, *http.Request){spoil(stream(1, 2)), stream(1, 2)}, http.StatusBadGateway, ""},
		"all are spoilt":      {"read", []func(io.Writer, *http.Request){spoil(respondWith("a")), spoil(respondWith("b"))}, http.StatusBadGateway, ""},
		"failure":             {"once", []func(io.Writer, *http.Request){spoil(failsWith(http.StatusNotFound))}, http.StatusNotFound, ""},
		"second run, spoilt":  {"stream", []func(io.Writer, *http.Request){breaksOff, spoil(stream(2, 3))}, http.StatusOK, event(1)},
		"second run is whole": {"stream", []func(io.Writer, *http.Request){breaksOff, stream(2, 3)}, http.StatusOK, event(1) + event(2) + event(3)},
	} {
		t.Run(name, func(t *testing.T) {
			var addresses []string
			for _, script := range c.scripts {
				_, a := startTarget(t, script)
				addresses = append(addresses, a)
			}
			res, body, err := startEntry(t, addresses...).call(t, c.host)
			if res == nil {
				t.Fatalf("no response: %v", err)
			}
			if res.StatusCode != c.status || c.body != "" && body != c.body {
				t.Errorf("got status %d, body %.80q, error %v", res.StatusCode, body, err)
			}
			if whole := err == nil && res.StatusCode == http.StatusOK; whole != (c.status == http.StatusOK && name != "second run, spoilt") {
				t.Errorf("response is whole: %t", whole)
			}
			if res.StatusCode == http.StatusOK && res.Header.Get("Signature") == "" {
				t.Error("a success without a signature reached the caller")
			}
		})
	}
}

func failsWith(status int) func(io.Writer, *http.Request) {
	return func(w io.Writer, r *http.Request) {
		_, _ = io.WriteString(w, head(r, strconv.Itoa(status)+" Failed", "Content-Length: 0"))
	}
}
