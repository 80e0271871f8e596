// Package metrics registers the Prometheus metrics of a process.
package metrics

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const namespace = "egretproxy"

// latencyBuckets are upper bounds in seconds. They are dense around the latency
// objectives of callers.
var latencyBuckets = []float64{.005, .01, .025, .05, .1, .15, .2, .3, .4, .6, 1, 2, 4, 8}

// Set is the set of metrics of one process. It is safe for concurrent use.
type Set struct {
	registry  *prometheus.Registry
	events    *prometheus.CounterVec
	durations *prometheus.HistogramVec
	sent      atomic.Int64
	received  atomic.Int64
}

// New returns a set whose metrics have the role as a constant label.
func New(role string) *Set {
	labels := prometheus.Labels{"role": role}
	s := &Set{
		registry: prometheus.NewRegistry(),
		events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "events_total", ConstLabels: labels,
			Help: "Events by name and reason, such as refusals and retries.",
		}, []string{"event", "reason"}),
		durations: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "duration_seconds", ConstLabels: labels,
			Help:    "Durations in seconds by what took them, such as whole answers and first events.",
			Buckets: latencyBuckets,
		}, []string{"what"}),
	}
	s.registry.MustRegister(
		s.events, s.durations,
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		counter("control_sent_bytes_total", "Control bytes sent between processes.", labels, &s.sent),
		counter("control_received_bytes_total", "Control bytes received between processes.", labels, &s.received),
	)
	return s
}

// counter returns a counter whose value is read from v at each scrape.
func counter(name, help string, labels prometheus.Labels, v *atomic.Int64) prometheus.Collector {
	return prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: namespace, Name: name, Help: help, ConstLabels: labels,
	}, func() float64 { return float64(v.Load()) })
}

// Count adds 1 to the counter of an event without a reason.
func (s *Set) Count(event string) { s.CountBy(event, "", 1) }

// CountReason adds 1 to the counter of an event with a reason.
func (s *Set) CountReason(event, reason string) { s.CountBy(event, reason, 1) }

// CountBy adds n to the counter of an event with a reason.
func (s *Set) CountBy(event, reason string, n int) {
	s.events.WithLabelValues(event, reason).Add(float64(n))
}

// Observe adds one duration to the histogram of what was measured.
func (s *Set) Observe(what string, d time.Duration) {
	s.durations.WithLabelValues(what).Observe(d.Seconds())
}

// Gauge registers a gauge whose value is read at each scrape. It panics if the
// name is taken.
func (s *Set) Gauge(name, help string, value func() float64) {
	s.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace, Name: name, Help: help,
	}, value))
}

// SentBytes returns the counter of control bytes sent.
func (s *Set) SentBytes() *atomic.Int64 { return &s.sent }

// ReceivedBytes returns the counter of control bytes received.
func (s *Set) ReceivedBytes() *atomic.Int64 { return &s.received }

// Handler returns a handler that serves the metrics in the Prometheus format.
func (s *Set) Handler() http.Handler {
	return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{})
}
