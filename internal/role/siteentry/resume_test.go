package siteentry

import (
	"io"
	"net/http"
	"testing"
)

// breaksAfterTwo sends two events of a stream and breaks off.
func breaksAfterTwo(w io.Writer, r *http.Request) {
	_, _ = io.WriteString(w, head(r, "200 OK", "Transfer-Encoding: chunked")+chunk(event(1))+chunk(event(2)))
}

// TestHoldsResumedStreamEndsOnlyWhole guards against a stream that broke off and
// reaches its caller as if it were complete, with or without the body of a failure,
// because the target that should continue it answers with something other than the
// events that follow.
func TestHoldsResumedStreamEndsOnlyWhole(t *testing.T) {
	begun := event(1) + event(2)
	for name, c := range map[string]struct {
		answer func(r *http.Request) string
		// whole is set if the answer completes the stream.
		whole bool
	}{
		"rest": {func(r *http.Request) string {
			return head(r, "200 OK", "Transfer-Encoding: chunked") + chunk(event(3)) + "0\r\n\r\n"
		}, true},
		"500":                   {withBody("500 Internal Server Error"), false},
		"400":                   {withBody("400 Bad Request"), false},
		"404":                   {withBody("404 Not Found"), false},
		"503 that may have run": {withBody("503 Service Unavailable"), false},
		"503 not run": {func(r *http.Request) string {
			return head(r, "503 Service Unavailable", "Not-Run: 1", "Content-Length: 0")
		}, false},
		"302":        {withBody("302 Found"), false},
		"204":        {func(r *http.Request) string { return head(r, "204 No Content") }, false},
		"empty":      {func(r *http.Request) string { return head(r, "200 OK", "Content-Length: 0") }, false},
		"no event":   {func(r *http.Request) string { return head(r, "200 OK", "Transfer-Encoding: chunked") + "0\r\n\r\n" }, false},
		"no length":  {func(r *http.Request) string { return head(r, "200 OK") }, false},
		"blank line": {func(r *http.Request) string { return head(r, "200 OK", "Content-Length: 1") + "\n" }, false},
		"comment":    {func(r *http.Request) string { return head(r, "200 OK", "Content-Length: 6") + ": ok\n\n" }, false},
		"no events":  {withBody("200 OK"), false},
		"long failure": {func(r *http.Request) string {
			return head(r, "500 Internal Server Error", "Transfer-Encoding: chunked") + chunk(event(3)) + chunk(event(4)) + "0\r\n\r\n"
		}, false},
		"half a status line": {func(*http.Request) string { return "HTTP/1.1 20" }, false},
		"half a head": {func(r *http.Request) string {
			whole := head(r, "200 OK", "Content-Length: 0")
			return whole[:len(whole)-4]
		}, false},
		"head without its blank line": {func(r *http.Request) string {
			whole := head(r, "200 OK", "Content-Length: 0")
			return whole[:len(whole)-2]
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			_, a1 := startTarget(t, breaksAfterTwo)
			second, a2 := startTarget(t, func(w io.Writer, r *http.Request) { _, _ = io.WriteString(w, c.answer(r)) })
			te := startEntry(t, a1, a2)
			res, body, err := te.call(t, "stream")
			want := begun
			if c.whole {
				want += event(3)
			}
			if res == nil || res.StatusCode != http.StatusOK || body != want {
				t.Errorf("got response %v, body %q, error %v", res, body, err)
			}
			if complete := err == nil; complete != c.whole {
				t.Errorf("the stream looks complete: %v, error %v", complete, err)
			}
			if n := len(second.requests()); n != 1 {
				t.Errorf("the second target got %d requests, so the test checked nothing", n)
			}
		})
	}
}

// withBody returns an answer with a body that is no event.
func withBody(status string) func(r *http.Request) string {
	return func(r *http.Request) string {
		return head(r, status, "Content-Length: 7", "Location: /elsewhere") + "failure"
	}
}

// TestHoldsBrokenHeadIsNoResponse guards against a target that stops within the head
// of its first response, which its caller then gets as an empty response.
func TestHoldsBrokenHeadIsNoResponse(t *testing.T) {
	for _, host := range []string{"once", "read", "stream", "cut"} {
		for cut := 5; cut < 120; cut += 9 {
			sent := 0
			_, address := startTarget(t, func(w io.Writer, r *http.Request) {
				whole := head(r, "200 OK", "Content-Length: 0")
				sent = min(cut, len(whole)-1)
				_, _ = io.WriteString(w, whole[:sent])
			})
			te := startEntry(t, address)
			res, body, err := te.call(t, host)
			if err != nil || res.StatusCode != http.StatusBadGateway {
				t.Errorf("%s, head of %d bytes: got response %v, body %q, error %v", host, sent, res, body, err)
			}
		}
	}
}

// TestHoldsStreamGoesOnAtAThirdTarget guards against a stream that is given up, or
// ends as complete, because the second target did not continue it although another
// attempt is left.
func TestHoldsStreamGoesOnAtAThirdTarget(t *testing.T) {
	for name, answer := range map[string]func(r *http.Request) string{
		"500":      withBody("500 Internal Server Error"),
		"400":      withBody("400 Bad Request"),
		"302":      withBody("302 Found"),
		"no event": func(r *http.Request) string { return head(r, "200 OK", "Content-Length: 0") },
		"comment": func(r *http.Request) string {
			return head(r, "200 OK", "Transfer-Encoding: chunked") + chunk(": ok\n\n") + "0\r\n\r\n"
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, a1 := startTarget(t, breaksAfterTwo)
			_, a2 := startTarget(t, func(w io.Writer, r *http.Request) { _, _ = io.WriteString(w, answer(r)) })
			third, a3 := startTarget(t, func(w io.Writer, r *http.Request) {
				_, _ = io.WriteString(w, head(r, "200 OK", "Transfer-Encoding: chunked")+chunk(": ok\n\n")+chunk(event(3))+"0\r\n\r\n")
			})
			te := startEntry(t, a1, a2, a3)
			for i := range te.plan.Routes {
				te.plan.Routes[i].MaxAttempts = 3
			}
			res, body, err := te.call(t, "stream")
			if err != nil || res.StatusCode != http.StatusOK || body != event(1)+event(2)+event(3) {
				t.Errorf("got response %v, body %q, error %v", res, body, err)
			}
			if got := third.requests(); len(got) != 1 || got[0].Header.Get("Last-Event-Id") != "2" {
				t.Errorf("the third target got %v", got)
			}
		})
	}
}

// TestFirstStreamWithoutEventIsWhole checks that a framed stream without an event
// stays as its target sent it if the caller has nothing before.
func TestFirstStreamWithoutEventIsWhole(t *testing.T) {
	for _, c := range []struct {
		rest, body string
		fields     []string
	}{
		{"", "", []string{"Content-Length: 0"}},
		{"0\r\n\r\n", "", []string{"Transfer-Encoding: chunked"}},
		{": ok\n\n", ": ok\n\n", []string{"Content-Length: 6"}},
	} {
		_, address := startTarget(t, func(w io.Writer, r *http.Request) {
			_, _ = io.WriteString(w, head(r, "200 OK", c.fields...)+c.rest)
		})
		te := startEntry(t, address)
		for _, last := range []string{"", "7"} {
			res, body, err := te.call(t, "stream", "Last-Event-Id", last)
			if err != nil || res.StatusCode != http.StatusOK || body != c.body {
				t.Errorf("%v after event %q: got response %v, body %q, error %v", c.fields, last, res, body, err)
			}
		}
	}
}
