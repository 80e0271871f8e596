// Package simservice is a stand-in for a plain service that keeps records, some
// of whose calls may not be repeated.
package simservice

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
	// WriteDelay is the time that a write takes.
	WriteDelay time.Duration

	mu        sync.Mutex
	startID   id.Request
	runs      map[string]int
	requests  int
	afterMark int
	marked    bool
}

// New returns a service without records.
func New(delay time.Duration) *Service {
	return &Service{WriteDelay: delay, startID: id.NewRequest(), runs: map[string]int{}}
}

// retireRequest is the body of a call that may not be repeated.
type retireRequest struct {
	Record string
}

// Counts returns what the stand-in has seen.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Counts{Runs: map[string]int{}, Requests: s.requests, AfterMark: s.afterMark}
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
		_, _ = w.Write([]byte(s.startID))
	}, http.MethodGet)
	mux.HandleFunc("/counts", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.Counts())
	}, http.MethodGet)
	mux.HandleFunc("/faults/:fault", func(_ http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.marked = r.PathValue("fault") == "mark"
	}, http.MethodPost)
	mux.HandleFunc("/inventory/ropes", s.handleList, http.MethodGet)
	mux.HandleFunc("/inventory/retire", s.handleRetire, http.MethodPost)
	return mux
}

func (s *Service) handleList(w http.ResponseWriter, r *http.Request) {
	s.countRequest()
	w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]int{"Retired": len(s.runs)})
}

func (s *Service) handleRetire(w http.ResponseWriter, r *http.Request) {
	s.countRequest()
	var in retireRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || in.Record == "" {
		http.Error(w, "a record is needed", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.runs[in.Record]++
	n := s.runs[in.Record]
	s.mu.Unlock()
	time.Sleep(s.WriteDelay)
	w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"Record": in.Record, "Run": n})
}

func (s *Service) countRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	if s.marked {
		s.afterMark++
	}
}
