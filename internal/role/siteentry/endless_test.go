package siteentry

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const (
	// endlessBytes is what an endless target sends at most. A reader without
	// a limit takes all of it.
	endlessBytes = 64 << 20
	// kernelBytes bounds what may be in the buffers of a closed connection.
	kernelBytes = 24 << 20
	// longBytes is longer than what an entry buffers.
	longBytes = 3 << 20
	hangGuard = 30 * time.Second
	// noEnd is a length that no response reaches.
	noEnd = "Content-Length: 1099511627776"
)

// flood returns a target's script that sends the prefix and then repeats part
// until the caller closes the connection. It sends the number of bytes sent to
// taken.
func flood(taken chan<- int, prefix, part string) func(io.Writer, *http.Request) {
	return func(w io.Writer, _ *http.Request) {
		n, err := io.WriteString(w, prefix)
		block := strings.Repeat(part, max(4096/len(part), 1))
		for err == nil && n < endlessBytes {
			var m int
			m, err = io.WriteString(w, block)
			n += m
		}
		taken <- n
	}
}

// endless returns a target's script that floods the body of a response with the
// status and the header fields.
func endless(taken chan<- int, status string, fields []string, prefix, part string) func(io.Writer, *http.Request) {
	return func(w io.Writer, r *http.Request) {
		flood(taken, head(r, status, fields...)+prefix, part)(w, r)
	}
}

// endlessBodies are bodies without end on the two kinds of routes.
var endlessBodies = []struct {
	name, fields, prefix, part string
}{
	{"unframed", "", "", "x"},
	{"length", noEnd, "", "x"},
	{"chunked", "Transfer-Encoding: chunked", "", "3\r\nabc\r\n"},
	{"chunk", "Transfer-Encoding: chunked", "ffffffffff\r\n", "x"},
	{"chunk extension", "Transfer-Encoding: chunked", "1;", "x"},
	{"trailer", "Transfer-Encoding: chunked", "1\r\nx\r\n0\r\n", "X: y\r\n"},
}

// checkTaken checks that the first target was asked that often, and how much of its last
// response it got rid of.
func checkTaken(t *testing.T, first *fakeTarget, asked int, taken <-chan int) {
	t.Helper()
	if n := len(first.requests()); n != asked {
		t.Fatalf("the first target got %d requests, want %d", n, asked)
	}
	if n := <-taken; n > kernelBytes {
		t.Errorf("read about %d MiB of the response", n>>20)
	}
}

// TestHoldsEndlessHeadIsNoAnswer guards against a head without end that holds
// the request to its deadline, although another target could run it.
func TestHoldsEndlessHeadIsNoAnswer(t *testing.T) {
	const other = "HTTP/1.1 200 OK\r\nAttempt: other\r\nSignature: s\r\n"
	for _, c := range []struct{ name, prefix, part string }{
		{"no protocol", "", "\x00"},
		{"status line", "HTTP/1.1 200 ", "x"},
		{"field", "HTTP/1.1 200 OK\r\nAttempt: a1\r\nX: ", "x"},
		{"fields", "HTTP/1.1 200 OK\r\nAttempt: a1\r\n", "X: y\r\n"},
		{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"declined, fields", "HTTP/1.1 503 Full\r\nAttempt: a1\r\nNot-Run: 1\r\n", "X: y\r\n"},
		{"answers of other requests", "", other + "Content-Length: 2\r\n\r\nno"},
		{"answer of another request", other + "Transfer-Encoding: chunked\r\n\r\n", "2\r\nno\r\n"},
	} {
		for host, want := range map[string]int{
			"read": http.StatusOK, "stream": http.StatusOK, "once": http.StatusBadGateway, "cut": http.StatusBadGateway,
		} {
			t.Run(c.name+" "+host, func(t *testing.T) {
				taken := make(chan int, 1)
				first, a1 := startTarget(t, flood(taken, c.prefix, c.part))
				second, a2 := startTarget(t, func(w io.Writer, r *http.Request) {
					_, _ = io.WriteString(w, head(r, "200 OK")+event(1))
				})
				res, body, err := startEntry(t, a1, a2).call(t, host)
				if err != nil || res.StatusCode != want || (body == event(1)) != (want == http.StatusOK) {
					t.Errorf("got response %v, %d bytes, error %v, want status %d", res, len(body), err, want)
				}
				if want != http.StatusOK && (res.Header.Get("Signature") != "" || len(second.requests()) > 0) {
					t.Errorf("got header %v, %d requests at the second target", res.Header, len(second.requests()))
				}
				checkTaken(t, first, 1, taken)
			})
		}
	}
}

// startPatientEntry is startEntry with routes that leave a busy machine the time to read
// as much of a body as is read at most.
func startPatientEntry(t *testing.T, addresses ...string) *testEntry {
	t.Helper()
	te := startEntry(t, addresses...)
	for i := range te.plan.Routes {
		te.plan.Routes[i].Timeout = time.Minute
	}
	return te
}

// TestHoldsEndlessBodyIsNoAnswer guards against a body without end that is cut
// at the size of a buffer and forwarded as a complete response.
func TestHoldsEndlessBodyIsNoAnswer(t *testing.T) {
	for _, b := range endlessBodies {
		for _, status := range []string{"200 OK", "404 Not Found", "500 Failed"} {
			t.Run(b.name+" "+status, func(t *testing.T) {
				taken := make(chan int, 1)
				first, a1 := startTarget(t, endless(taken, status, []string{b.fields}, b.prefix, b.part))
				second, a2 := startTarget(t, respondWith("ok"))
				te := startPatientEntry(t, a1, a2)
				res, body, err := te.call(t, "read")
				if err != nil || res.StatusCode != http.StatusOK || body != "ok" {
					t.Errorf("repeatable: got response %v, %d bytes, error %v", res, len(body), err)
				}
				checkTaken(t, first, 1, taken)
				te = startPatientEntry(t, a1, a2)
				res, body, err = te.call(t, "once")
				if err != nil || res.StatusCode != http.StatusBadGateway || res.Header.Get("Signature") != "" {
					t.Errorf("once: got response %v, %d bytes, error %v", res, len(body), err)
				}
				checkTaken(t, first, 2, taken)
				if n := len(second.requests()); n != 1 {
					t.Errorf("second target got %d requests, want the repeatable one", n)
				}
			})
		}
	}
}

// TestHoldsDeclinedRequestDoesNotAwaitBody guards against targets that decline
// a request with a body without end, which held it until its deadline.
func TestHoldsDeclinedRequestDoesNotAwaitBody(t *testing.T) {
	for _, b := range endlessBodies {
		taken := make(chan int, 1)
		first, a1 := startTarget(t, endless(taken, "503 Full", []string{"Not-Run: 1", b.fields}, b.prefix, b.part))
		_, a2 := startTarget(t, respondWith("ok"))
		te := startEntry(t, a1, a2)
		res, body, err := te.call(t, "once")
		if err != nil || res.StatusCode != http.StatusOK || body != "ok" {
			t.Errorf("%s: got response %v, %d bytes, error %v", b.name, res, len(body), err)
		}
		checkTaken(t, first, 1, taken)
	}
	// The target sends nothing more and keeps the connection.
	silent := func(w io.Writer, r *http.Request) {
		_, _ = io.WriteString(w, head(r, "503 Full", "Not-Run: 1", noEnd))
		<-r.Context().Done()
	}
	_, a1 := startTarget(t, silent)
	_, a2 := startTarget(t, respondWith("ok"))
	te := startEntry(t, a1, a2)
	if res, _, err := te.call(t, "once"); err != nil || res.StatusCode != http.StatusOK {
		t.Errorf("silence: got response %v, error %v", res, err)
	}
}

// TestHoldsLongBodyIsComplete guards against a long response that is cut at the
// size of a buffer and forwarded as a complete one.
func TestHoldsLongBodyIsComplete(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", longBytes/16)
	length := fmt.Sprintf("Content-Length: %d", len(long))
	for _, host := range []string{"read", "once"} {
		_, a := startTarget(t, respondWith(long))
		res, body, err := startEntry(t, a).call(t, host)
		if err != nil || res.StatusCode != http.StatusOK || res.ContentLength != int64(len(long)) || body != long {
			t.Errorf("%s: got response %v, %d bytes, error %v", host, res, len(body), err)
		}
		_, a = startTarget(t, func(w io.Writer, r *http.Request) {
			_, _ = io.WriteString(w, head(r, "200 OK", length)+long[:len(long)-1])
		})
		if res, body, err = startEntry(t, a).call(t, host); err == nil && res.StatusCode == http.StatusOK {
			t.Errorf("%s: a truncated response of %d bytes looks complete", host, len(body))
		}
		_, a = startTarget(t, func(w io.Writer, r *http.Request) {
			_, _ = io.WriteString(w, head(r, "200 OK", "Transfer-Encoding: chunked")+chunk(long)+"0\r\n\r\n")
		})
		if res, body, err = startEntry(t, a).call(t, host); err != nil || res.StatusCode != http.StatusBadGateway {
			t.Errorf("%s: got response %v, %d bytes of unknown length, error %v", host, res, len(body), err)
		}
	}
}

// TestHoldsEndlessStreamIsNoAnswer guards against bytes without end on a
// streaming route that are forwarded as events or taken for a whole stream.
func TestHoldsEndlessStreamIsNoAnswer(t *testing.T) {
	garbage := "\x00\xff\x01\xfe{\n\n"
	for _, b := range []struct{ name, prefix, part string }{
		{"event", "", "data: x\n"},
		{"line", "data: ", "x"},
		{"id", "id: ", "1"},
		{"blank lines", "", "\n"},
		{"garbage", "", garbage},
		{"garbage after an event", event(1), garbage},
		{"blank lines after an event", event(1), "\r\n"},
		{"line after an event", event(1) + "data: ", "x"},
	} {
		t.Run(b.name, func(t *testing.T) {
			taken := make(chan int, 1)
			first, a1 := startTarget(t, endless(taken, "200 OK", nil, b.prefix, b.part))
			_, a2 := startTarget(t, func(w io.Writer, r *http.Request) {
				_, _ = io.WriteString(w, head(r, "200 OK"))
				if r.Header.Get("Last-Event-Id") == "" {
					_, _ = io.WriteString(w, event(1))
				}
				_, _ = io.WriteString(w, event(2))
			})
			te := startEntry(t, a1, a2)
			res, body, err := te.call(t, "stream")
			if err != nil || res.StatusCode != http.StatusOK {
				t.Fatalf("resumable: got response %v, error %v", res, err)
			}
			if d := cmp.Diff(event(1)+event(2), body); d != "" {
				t.Errorf("resumable (-want +got):\n%.500s", d)
			}
			checkTaken(t, first, 1, taken)
			te = startEntry(t, a1, a2)
			res, body, err = te.call(t, "cut")
			if err == nil && res.StatusCode != http.StatusBadGateway || !strings.HasPrefix(event(1), body) && err != nil {
				t.Errorf("not resumable: got response %v, body %.200q, error %v", res, body, err)
			}
			checkTaken(t, first, 2, taken)
		})
	}
}

// TestEndlessEventsAreCut guards against valid events without end that
// are forwarded beyond the caller's deadline, or as a complete stream.
func TestEndlessEventsAreCut(t *testing.T) {
	for _, part := range []string{"data: x\n\n", ": x\n\n"} {
		ended := make(chan struct{})
		_, a1 := startTarget(t, func(w io.Writer, r *http.Request) {
			defer close(ended)
			began := time.Now()
			_, err := io.WriteString(w, head(r, "200 OK"))
			for err == nil && time.Since(began) < hangGuard {
				_, err = io.WriteString(w, part)
			}
		})
		te := startEntry(t, a1)
		res, body, err := te.call(t, "stream", "Deadline", "300")
		if err == nil {
			t.Errorf("got response %v, %d bytes, as a complete stream", res, len(body))
		}
		<-ended
	}
}
