package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// result is what a client has seen of one request.
type result struct {
	id     string
	status int
	header http.Header
	body   string
	// err is nil if the answer ended as complete.
	err error
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// request is one client attempt.
type request struct {
	entry, method, host, path, id, body string
	deadline                            time.Duration
	header                              string
}

// send sends a request on a new connection and reads the answer.
func (q request) send() result {
	out := result{id: q.id}
	c, err := net.DialTimeout("tcp", q.entry, time.Second)
	if err != nil {
		out.err = err
		return out
	}
	defer func() { _ = c.Close() }()
	return q.sendOn(c, bufio.NewReader(c))
}

// sendOn sends a request on a connection and reads the answer.
func (q request) sendOn(c net.Conn, br *bufio.Reader) result {
	out := result{id: q.id}
	_ = c.SetDeadline(time.Now().Add(q.deadline + time.Second))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s: %s\r\n%s", q.method, q.path, q.host,
		words["attempt"], q.id, words["deadline"], q.deadline.Milliseconds(), words["key"], clientKey, q.header)
	if q.body != "" || q.method == http.MethodPost {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	if _, out.err = io.WriteString(c, text+"\r\n"+q.body); out.err != nil {
		return out
	}
	response, err := http.ReadResponse(br, &http.Request{Method: q.method})
	if err != nil {
		out.err = err
		return out
	}
	out.status, out.header = response.StatusCode, response.Header
	data, err := io.ReadAll(response.Body)
	out.body, out.err = string(data), err
	return out
}

// events returns how many events of its stream the client has, in order from the
// first, and whether nothing else is in the body.
func (r result) events() (n int, exact bool) {
	rest := r.body
	for {
		after, ok := strings.CutPrefix(rest, eventOf(r.id, n+1))
		if !ok {
			return n, rest == ""
		}
		n, rest = n+1, after
	}
}
