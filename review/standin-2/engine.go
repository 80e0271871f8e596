package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Times of an engine (PROTOCOL.md, «Service discovery»).
const (
	beatInterval = 1200 * time.Millisecond
	beatTimeout  = time.Second
	drainTimeout = 2 * time.Second
	// drainRest is the «little longer» for which an engine serves.
	drainRest = 300 * time.Millisecond
)

// engine is a stand-in for an engine. It serves one request at a time on a connection
// and answers with a stream of events or a short body.
type engine struct {
	id, service, listen, zone string
	control                   []string
	events                    int
	gap                       time.Duration
	model                     bool
	// unframed is the share of the streams that have no length while the engine
	// garbles, which SIGUSR1 begins and SIGUSR2 ends.
	unframed float64
	garbles  atomic.Bool
	// spoilt is the share of the answers to calls in which bytes of the head are wrong
	// while the engine garbles.
	spoilt float64

	born     int64
	sequence atomic.Int64
	active   atomic.Int64
	mu       sync.Mutex
	state    string
}

func (e *engine) log(format string, args ...any) {
	fmt.Printf("%d %s %s\n", time.Now().UnixMilli(), e.id, fmt.Sprintf(format, args...))
}

// runEngine serves until it has left as planned, which SIGTERM asks for.
func runEngine(args []string) {
	e := &engine{born: time.Now().UnixMilli(), state: "ready"}
	f := flag.NewFlagSet("engine", flag.ExitOnError)
	f.StringVar(&e.id, "id", "", "id")
	f.StringVar(&e.service, "service", "", "service")
	f.StringVar(&e.listen, "listen", "", "address")
	f.StringVar(&e.zone, "zone", "", "zone")
	control := f.String("control", "", "addresses of the control plane")
	f.IntVar(&e.events, "events", 24, "events of a stream")
	f.DurationVar(&e.gap, "gap", 100*time.Millisecond, "pause between events, and work of a call")
	f.Float64Var(&e.unframed, "unframed", 0, "share of the streams without a length")
	f.Float64Var(&e.spoilt, "spoilt", 0, "share of the answers with wrong bytes in their head")
	f.BoolVar(&e.model, "model", false, "the engine holds weights")
	_ = f.Parse(args)
	e.control = strings.Split(*control, ",")
	l, err := net.Listen("tcp", e.listen)
	if err != nil {
		fmt.Println(err)
		os.Exit(exitNotRun)
	}
	garble := make(chan os.Signal, 2)
	signal.Notify(garble, syscall.SIGUSR1, syscall.SIGUSR2)
	go func() {
		for s := range garble {
			e.garbles.Store(s == syscall.SIGUSR1)
		}
	}()
	terminate := make(chan os.Signal, 1)
	signal.Notify(terminate, syscall.SIGTERM)
	go e.beats()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	<-terminate
	e.leave()
}

// leave ends the engine as planned: it reports that it drains, serves for the drain
// time from the acknowledgement and a little longer, sends DELETE and exits.
func (e *engine) leave() {
	e.mu.Lock()
	e.state = "draining"
	e.mu.Unlock()
	for !e.beat() {
		time.Sleep(50 * time.Millisecond)
	}
	e.log("draining is acknowledged")
	time.Sleep(drainTimeout + drainRest)
	e.call(http.MethodDelete, nil)
	e.log("exits, %d requests run", e.active.Load())
	os.Exit(0)
}

func (e *engine) beats() {
	for {
		e.beat()
		time.Sleep(beatInterval)
	}
}

func (e *engine) weights() map[string]any {
	return map[string]any{
		"inferenceStage": "prefill_decode",
		"modelList":      []any{map[string]any{"name": "daka510000", "version": 1, "adapterList": []string{}}},
		"layers":         map[string]any{"from": 0, "to": 16, "version": 1},
	}
}

// beat sends a heartbeat and reports whether it was acknowledged.
func (e *engine) beat() bool {
	e.mu.Lock()
	state := e.state
	e.mu.Unlock()
	out := map[string]any{
		"service": e.service, "address": e.listen, "zone": e.zone, "version": "v1", "slots": 16, "state": state,
		words["cold"]: 0, "sequenceNumber": e.sequence.Add(1), "born": e.born,
	}
	if e.model {
		for k, v := range e.weights() {
			out[k] = v
		}
	}
	body, _ := json.Marshal(out)
	return e.call(http.MethodPut, body)
}

// call sends a call to one daemon after the other until one acknowledges it.
func (e *engine) call(method string, body []byte) bool {
	for i := range e.control {
		keeper := e.control[(int(e.sequence.Load())+i)%len(e.control)]
		ctx, cancel := context.WithTimeout(context.Background(), beatTimeout)
		r, _ := http.NewRequestWithContext(ctx, method, "http://"+keeper+words["instances"]+e.id, bytes.NewReader(body))
		response, err := http.DefaultClient.Do(r)
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		cancel()
		if err == nil && response.StatusCode/100 == 2 {
			return true
		}
	}
	return false
}

func (e *engine) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !e.answer(c, r, body) {
			return
		}
	}
}

// answer answers a request and reports whether the connection is kept.
func (e *engine) answer(c net.Conn, r *http.Request, body []byte) bool {
	if r.URL.Path == words["report"] {
		report := map[string]any{
			"busy": false, "sequenceNumber": 0, "queuedRequests": 0, "activeRequests": e.active.Load(), "kvInUse": 0,
			"kvCapacity": 1640000, "kvHandles": 0, "born": e.born, "pace": 1.0,
		}
		for k, v := range e.weights() {
			report[k] = v
		}
		data, _ := json.Marshal(report)
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(data), data)
		return err == nil
	}
	id := r.Header.Get(words["attempt"])
	head := fmt.Sprintf("%s: %s\r\n%s: %s.%s\r\n", words["attempt"], id, words["signature"], e.id, id)
	if expected := r.Header.Get(words["expected"]); expected != "" && expected != e.id {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", words["attempt"], id, words["notRun"])
		return err == nil
	}
	e.active.Add(1)
	defer e.active.Add(-1)
	e.log("runs %s %s %s, %d bytes, last id %q", id, r.Method, r.URL.RequestURI(), len(body), r.Header.Get("Last-Event-Id"))
	if e.model {
		head += words["versions"] + ": 1\r\n"
	}
	if !strings.HasPrefix(r.URL.Path, "/stream/") {
		time.Sleep(e.gap)
		text := wholeBody(id)
		if e.garbles.Load() && rand.Float64() < e.spoilt {
			head = strings.Replace(head, words["signature"], strings.NewReplacer("sp", "\x60p", "gn", "\x60n").Replace(words["signature"]), 1)
			e.log("hands out wrong bytes for %s", id)
		}
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(text), text)
		e.log("answered %s", id)
		return err == nil
	}
	return e.stream(c, head, id, r.Header.Get("Last-Event-Id"))
}

// stream sends the events after the last id.
func (e *engine) stream(c net.Conn, head, id, lastID string) bool {
	last, _ := strconv.Atoi(lastID)
	unframed := e.garbles.Load() && rand.Float64() < e.unframed
	framing := "Transfer-Encoding: chunked\r\n"
	if unframed {
		e.log("answers %s without a length", id)
		framing = "Connection: close\r\n"
	}
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s%s\r\n", head, framing); err != nil {
		return false
	}
	for n := last + 1; n <= e.events; n++ {
		time.Sleep(e.gap)
		event := eventOf(id, n)
		if !unframed {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if _, err := io.WriteString(c, event); err != nil {
			e.log("stream %s broke off after %d events: %v", id, n-1, err)
			return false
		}
	}
	e.log("answered %s whole", id)
	if unframed {
		return false
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// eventOf is the n-th event of a stream.
func eventOf(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n) }

// wholeBody is the body of the answer to a call.
func wholeBody(id string) string { return strings.Repeat(id+" ", 40) }
