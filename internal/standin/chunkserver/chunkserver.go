// Package chunkserver simulates an origin of weights or a rate-limited weight
// store.
package chunkserver

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/alexedwards/flow"
	"golang.org/x/time/rate"
)

const (
	writeBytes    = 32 << 10
	maxChunkBytes = 64 << 20
)

// Counts holds the server's counters.
type Counts struct {
	// Bytes counts the bytes sent.
	Bytes    int64
	Requests int
	// Refused counts the requests above RequestLimit. Requests doesn't include
	// them.
	Refused int
	// Held is the total size of the stored chunks in bytes.
	Held int64
}

// Server stores chunks by digest, in memory.
type Server struct {
	// BandwidthLimit limits the bytes sent per second. Nil means no limit.
	BandwidthLimit *rate.Limiter
	// RequestLimit limits the chunk downloads per second. Requests above it get
	// status 429. Nil means no limit.
	RequestLimit *rate.Limiter

	mu     sync.Mutex
	chunks map[string][]byte
	counts Counts
}

// Counts returns the counters.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Handler returns the HTTP handler of the server.
func (s *Server) Handler() http.Handler {
	mux := flow.New()
	mux.HandleFunc("/counts", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.Counts())
	}, http.MethodGet)
	mux.HandleFunc("/chunks/:digest", s.handleGet, http.MethodGet)
	mux.HandleFunc("/chunks/:digest", s.handlePut, http.MethodPut)
	return mux
}

func (s *Server) handleGet(w http.ResponseWriter, r *http.Request) {
	if s.RequestLimit != nil && !s.RequestLimit.Allow() {
		s.mu.Lock()
		s.counts.Refused++
		s.mu.Unlock()
		http.Error(w, "too many requests", http.StatusTooManyRequests)
		return
	}
	s.mu.Lock()
	data, ok := s.chunks[r.PathValue("digest")]
	s.counts.Requests++
	s.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	for len(data) > 0 {
		n := min(writeBytes, len(data))
		if s.BandwidthLimit != nil {
			if err := s.BandwidthLimit.WaitN(r.Context(), n); err != nil {
				return
			}
		}
		if _, err := w.Write(data[:n]); err != nil {
			return
		}
		s.mu.Lock()
		s.counts.Bytes += int64(n)
		s.mu.Unlock()
		data = data[n:]
	}
}

func (s *Server) handlePut(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxChunkBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.chunks == nil {
		s.chunks = map[string][]byte{}
	}
	if _, ok := s.chunks[r.PathValue("digest")]; !ok {
		s.counts.Held += int64(len(data))
	}
	s.chunks[r.PathValue("digest")] = data
	w.WriteHeader(http.StatusCreated)
}
