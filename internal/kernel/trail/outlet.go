package trail

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// outletLines bounds the lines that wait for the writer.
	outletLines = 2048
	// gatherFor joins lines into one write.
	gatherFor = 50 * time.Millisecond
)

// outlet writes lines in the background and drops them while the reader of
// the log stands still.
type outlet struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Int64

	mu sync.Mutex
}

func newOutlet(w io.Writer) *outlet {
	o := &outlet{w: w, lines: make(chan []byte, outletLines)}
	go o.run()
	return o
}

// Write implements io.Writer. It never blocks and never fails.
func (o *outlet) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case o.lines <- line:
	default:
		o.dropped.Add(1)
	}
	return len(p), nil
}

func (o *outlet) run() {
	for line := range o.lines {
		time.Sleep(gatherFor)
		o.mu.Lock()
		o.writeAll(line)
		o.mu.Unlock()
	}
}

// writeAll writes the line and all that wait behind it. It runs under mu.
func (o *outlet) writeAll(line []byte) {
	for {
		select {
		case next := <-o.lines:
			line = append(line, next...)
			continue
		default:
		}
		// The log itself has nowhere to report a failure to.
		_, _ = o.w.Write(line)
		return
	}
}

// flush writes what waits, before the process ends.
func (o *outlet) flush() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.writeAll(nil)
}
