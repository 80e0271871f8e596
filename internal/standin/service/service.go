// Package service is a stand-in for a plain service that keeps records, some
// of whose calls may not be repeated.
package service

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/alexedwards/flow"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/wire/header"
)

// Counts is what the stand-in has seen.
type Counts struct {
	// Runs counts how often each record was written.
	Runs map[string]int
	// RanTwice is the records that were written more than once.
	RanTwice  int
	Requests  int
	AfterMark int
}

// Service is one stand-in service.
type Service struct {
	// Delay is the time that a write takes.
	Delay time.Duration

	mu       sync.Mutex
	start    id.Request
	runs     map[string]int
	requests int
	after    int
	marked   bool
}

// New returns a service without records.
func New(delay time.Duration) *Service {
	return &Service{Delay: delay, start: id.NewRequest(), runs: map[string]int{}}
}

// write is the body of a call that may not be repeated.
type write struct {
	Record string
}

// Counts returns what the stand-in has seen.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Counts{Runs: map[string]int{}, Requests: s.requests, AfterMark: s.after}
	for k, n := range s.runs {
		out.Runs[k] = n
		if n > 1 {
			out.RanTwice++
		}
	}
	return out
}

// Handler serves the service.
func (s *Service) Handler() http.Handler {
	mux := flow.New()
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(s.start))
	}, http.MethodGet)
	mux.HandleFunc("/counts", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.Counts())
	}, http.MethodGet)
	mux.HandleFunc("/faults/:fault", func(_ http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.marked = r.PathValue("fault") == "mark"
	}, http.MethodPost)
	mux.HandleFunc("/inventory/ropes", s.list, http.MethodGet)
	mux.HandleFunc("/inventory/retire", s.retire, http.MethodPost)
	return mux
}

func (s *Service) list(w http.ResponseWriter, r *http.Request) {
	s.count()
	w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]int{"Retired": len(s.runs)})
}

func (s *Service) retire(w http.ResponseWriter, r *http.Request) {
	s.count()
	var in write
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || in.Record == "" {
		http.Error(w, "a record is needed", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.runs[in.Record]++
	n := s.runs[in.Record]
	s.mu.Unlock()
	time.Sleep(s.Delay)
	w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"Record": in.Record, "Run": n})
}

func (s *Service) count() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	if s.marked {
		s.after++
	}
}
