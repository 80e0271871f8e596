// Package decisionlog writes decisions about requests as JSON lines. It limits
// the rate of the lines and never blocks the caller.
package decisionlog

import (
	"flag"
	"io"
	"log/slog"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// Kind is a class of decisions with its own rate limit.
type Kind uint8

// Kinds of decisions. The order is that of linesPerSecond and kindNames.
const (
	// Usual is the kind of decisions about requests without problems.
	Usual Kind = iota
	// Notable is the kind of retries, resumptions and waits.
	Notable
	// Failure is the kind of decisions that end a request without a response of
	// a target.
	Failure
	kindCount
)

// linesPerSecond is the rate limit of each kind. It is highest for failures,
// since these are what operators look for.
var linesPerSecond = [kindCount]int{4, 10, 30}

var kindNames = [kindCount]string{"Usual", "Notable", "Failure"}

// Log is the decision log of one process. The zero value and nil drop every
// line. It is safe for concurrent use.
type Log struct {
	writer *asyncWriter
	logger *slog.Logger

	mu sync.Mutex
	// windowStart is the start of the current window of one second.
	windowStart time.Time
	// written counts the lines of each kind in the current window.
	written [kindCount]int
	// suppressed counts the lines of each kind over the rate limit since the
	// last report.
	suppressed [kindCount]int
}

// New returns a log that writes to w. Each line contains the attributes, which are
// alternating names and values.
func New(w io.Writer, attributes ...any) *Log {
	writer := newAsyncWriter(w)
	logger := slog.New(slog.NewJSONHandler(writer, &slog.HandlerOptions{Level: slog.LevelInfo})).With(attributes...)
	return &Log{writer: writer, logger: logger}
}

// Open returns a log like New, and sends klog there as well. It must be called
// before anything uses klog.
func Open(w io.Writer, attributes ...any) *Log {
	l := New(w, attributes...)
	klog.SetSlogLogger(l.logger)
	var flags flag.FlagSet
	klog.InitFlags(&flags)
	return l
}

// Record writes one decision, unless its kind is over the rate limit.
func (l *Log) Record(k Kind, msg string, args ...any) {
	if l == nil || l.logger == nil || !l.allow(k) {
		return
	}
	l.logger.Info(msg, args...)
}

// allow reports whether a line of the kind is within the rate limit, and counts
// it. At the start of a window it reports the lines lost before.
func (l *Log) allow(k Kind) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Sub(l.windowStart) >= time.Second {
		l.reportLost()
		l.windowStart = now
		l.written = [kindCount]int{}
	}
	if l.written[k] >= linesPerSecond[k] {
		l.suppressed[k]++
		return false
	}
	l.written[k]++
	return true
}

// reportLost writes the number of lines that were lost since the last report.
// The caller holds mu.
func (l *Log) reportLost() {
	dropped := l.writer.dropped.Swap(0)
	for k, n := range l.suppressed {
		if n > 0 {
			l.logger.Info("Log lines exceeded the rate limit", "Kind", kindNames[k], "Count", n)
		}
	}
	if dropped > 0 {
		l.logger.Info("Log lines were dropped because the log output is blocked", "Count", dropped)
	}
	l.suppressed = [kindCount]int{}
}

// Close writes the buffered lines. It blocks while the output is blocked.
func (l *Log) Close() {
	if l != nil && l.writer != nil {
		l.writer.flush()
	}
}
