package decisionlog

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxBufferedLines bounds the lines that wait for the writer.
	maxBufferedLines = 2048
	// batchInterval joins lines into one write.
	batchInterval = 50 * time.Millisecond
)

// asyncWriter writes lines in the background and drops them while the reader of
// the log stands still.
type asyncWriter struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Int64

	mu sync.Mutex
}

func newAsyncWriter(w io.Writer) *asyncWriter {
	o := &asyncWriter{w: w, lines: make(chan []byte, maxBufferedLines)}
	go o.run()
	return o
}

// Write implements io.Writer. It never blocks and never fails.
func (o *asyncWriter) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case o.lines <- line:
	default:
		o.dropped.Add(1)
	}
	return len(p), nil
}

func (o *asyncWriter) run() {
	for line := range o.lines {
		time.Sleep(batchInterval)
		o.mu.Lock()
		o.writeBuffered(line)
		o.mu.Unlock()
	}
}

// writeBuffered writes the line and all that wait behind it. It runs under mu.
func (o *asyncWriter) writeBuffered(line []byte) {
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
func (o *asyncWriter) flush() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.writeBuffered(nil)
}
