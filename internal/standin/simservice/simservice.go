// Package simservice simulates a plain service that keeps records and has
// non-idempotent calls.
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

// Counts holds the service's counters.
type Counts struct {
	// Runs counts the writes of each record.
	Runs map[string]int
	// RanTwice counts the records that were written more than once.
	RanTwice int
	Requests int
	// AfterMark counts the requests received while the service was marked.
	AfterMark int
}

// Service is a simulated service.
type Service struct {
	// WriteDelay is the duration of a write.
	WriteDelay time.Duration

	mu        sync.Mutex
	startID   id.Request
	runs      map[string]int
	requests  int
	afterMark int
	marked    bool
}

// New returns a service without records.
func New(writeDelay time.Duration) *Service {
	return &Service{WriteDelay: writeDelay, startID: id.NewRequest(), runs: map[string]int{}}
}

// retireRequest is the body of a non-idempotent call.
type retireRequest struct {
	Record string
}

// Counts returns a copy of the counters.
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

// Handler returns the HTTP handler of the service.
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
