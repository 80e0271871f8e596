package sse_test

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"egretproxy/internal/exchange/sse"
)

// readAll returns the events of a stream and the error that ends it.
func readAll(r io.Reader) ([]string, error) {
	events := sse.New(r)
	var out []string
	for {
		event, err := events.Next()
		if err != nil {
			return out, err
		}
		out = append(out, string(event))
	}
}

// TestHoldsBytesOfEventsAreUnchanged guards against a stream whose bytes are
// changed or rejected although they are events.
func TestHoldsBytesOfEventsAreUnchanged(t *testing.T) {
	long := "data: " + strings.Repeat("x", 100<<10) + "\n\n"
	for _, want := range [][]string{
		nil,
		{"id: 1\ndata: x\n\n", "id: 2\r\ndata: y\r\n\r\n"},
		{"x-weight-versions: 3\nid: 1\ndata: \x00\xff\n\n", "data\n\n", ": comment\n\n"},
		{"id: 1\n{\"a\": 1}\n\n"},
		{"\n\ndata: x\n\n", "\n"},
		{long, long},
	} {
		stream := strings.Join(want, "")
		for name, r := range map[string]io.Reader{
			"whole": strings.NewReader(stream), "bytes": iotest.OneByteReader(strings.NewReader(stream)),
		} {
			got, err := readAll(r)
			if d := cmp.Diff(want, got); d != "" || err != io.EOF {
				t.Errorf("%s: error %v (-want +got):\n%.500s", name, err, d)
			}
		}
	}
}

// TestHoldsOtherBytesAreNoEvents guards against bytes that are forwarded as
// events because blank lines happen to occur among them.
func TestHoldsOtherBytesAreNoEvents(t *testing.T) {
	const whole = "id: 1\ndata: x\n\n"
	for name, c := range map[string]struct {
		rest string
		want error
	}{
		"cut in a line":        {"data: y", io.ErrUnexpectedEOF},
		"cut in an event":      {"data: y\n", io.ErrUnexpectedEOF},
		"control characters":   {"\x00\x01\n\n", sse.ErrMalformed},
		"text":                 {"<html>\n\n", sse.ErrMalformed},
		"unknown field alone":  {"x-weights: 3\n\n", sse.ErrMalformed},
		"line without end":     {"data: " + strings.Repeat("y", 1<<20), sse.ErrTooLong},
		"event without end":    {strings.Repeat("data: y\n", 1<<17), sse.ErrTooLong},
		"blank lines, endless": {strings.Repeat("\n", 1<<20), sse.ErrTooLong},
	} {
		got, err := readAll(strings.NewReader(whole + c.rest))
		if d := cmp.Diff([]string{whole}, got); d != "" || !errors.Is(err, c.want) {
			t.Errorf("%s: error %v, want %v (-want +got):\n%.500s", name, err, c.want, d)
		}
	}
}

// TestEventsAreToldFromComments checks what counts as an event.
func TestEventsAreToldFromComments(t *testing.T) {
	for part, want := range map[string]bool{
		"data: x\n\n": true, "data\n\n": true, "id: 1\n\n": true, "id: 1\n{\"a\": 1}\n\n": true,
		"x-weight-versions: 3\nid: 1\ndata: x\n\n": true, ": ok\nevent: e\r\ndata: x\r\n\r\n": true,
		": data: x\n\n": false, "event: e\n\n": false, "retry: 5\n\n": false, "\n\n": false,
	} {
		events := sse.New(strings.NewReader("id: 1\ndata: x\n\n" + part))
		for range 2 {
			if _, err := events.Next(); err != nil {
				t.Fatalf("%q: %v", part, err)
			}
		}
		if events.Event != want {
			t.Errorf("%q is an event: %v, want %v", part, events.Event, want)
		}
	}
}
