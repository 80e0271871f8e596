// Package metrics holds the counters of one process.
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

// latencyBuckets are in seconds and dense around the objectives of callers.
var latencyBuckets = []float64{.005, .01, .025, .05, .1, .15, .2, .3, .4, .6, 1, 2, 4, 8}

// Set is the metrics of one process.
type Set struct {
	registry  *prometheus.Registry
	events    *prometheus.CounterVec
	durations *prometheus.HistogramVec
	sent      atomic.Int64
	received  atomic.Int64
}

// New returns an empty set for a role.
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

func counter(name, help string, labels prometheus.Labels, v *atomic.Int64) prometheus.Collector {
	return prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: namespace, Name: name, Help: help, ConstLabels: labels,
	}, func() float64 { return float64(v.Load()) })
}

// Count adds one event without a reason.
func (s *Set) Count(event string) { s.CountBy(event, "", 1) }

// CountReason adds one event with its reason.
func (s *Set) CountReason(event, reason string) { s.CountBy(event, reason, 1) }

// CountBy adds several events with their reason.
func (s *Set) CountBy(event, reason string, n int) {
	s.events.WithLabelValues(event, reason).Add(float64(n))
}

// Observe adds one duration.
func (s *Set) Observe(what string, d time.Duration) {
	s.durations.WithLabelValues(what).Observe(d.Seconds())
}

// Gauge registers a value that is read at each scrape.
func (s *Set) Gauge(name, help string, value func() float64) {
	s.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace, Name: name, Help: help,
	}, value))
}

// SentBytes counts control bytes sent.
func (s *Set) SentBytes() *atomic.Int64 { return &s.sent }

// ReceivedBytes counts control bytes received.
func (s *Set) ReceivedBytes() *atomic.Int64 { return &s.received }

// Handler serves the metrics.
func (s *Set) Handler() http.Handler {
	return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{})
}
