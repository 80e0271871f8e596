// Package chunkserver is a stand-in for an origin of weights or a rate-limited
// weight store.
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

// Counts is what the stand-in has seen.
type Counts struct {
	// Bytes is the bytes sent.
	Bytes    int64
	Requests int
	Refused  int
	// Held is the bytes of all chunks.
	Held int64
}

// Server holds chunks by digest.
type Server struct {
	// BandwidthLimit bounds the bytes sent a second. Nil means no bound.
	BandwidthLimit *rate.Limiter
	// RequestLimit bounds the requests a second, beyond which 429 is answered. Nil
	// means no bound.
	RequestLimit *rate.Limiter

	mu     sync.Mutex
	chunks map[string][]byte
	counts Counts
}

// Counts returns what the stand-in has seen.
func (d *Server) Counts() Counts {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.counts
}

// Handler serves the depot.
func (d *Server) Handler() http.Handler {
	mux := flow.New()
	mux.HandleFunc("/counts", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(d.Counts())
	}, http.MethodGet)
	mux.HandleFunc("/chunks/:digest", d.handleGet, http.MethodGet)
	mux.HandleFunc("/chunks/:digest", d.handlePut, http.MethodPut)
	return mux
}

func (d *Server) handleGet(w http.ResponseWriter, r *http.Request) {
	if d.RequestLimit != nil && !d.RequestLimit.Allow() {
		d.mu.Lock()
		d.counts.Refused++
		d.mu.Unlock()
		http.Error(w, "too many requests", http.StatusTooManyRequests)
		return
	}
	d.mu.Lock()
	data, ok := d.chunks[r.PathValue("digest")]
	d.counts.Requests++
	d.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	for len(data) > 0 {
		n := min(writeBytes, len(data))
		if d.BandwidthLimit != nil {
			if err := d.BandwidthLimit.WaitN(r.Context(), n); err != nil {
				return
			}
		}
		if _, err := w.Write(data[:n]); err != nil {
			return
		}
		d.mu.Lock()
		d.counts.Bytes += int64(n)
		d.mu.Unlock()
		data = data[n:]
	}
}

func (d *Server) handlePut(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxChunkBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.chunks == nil {
		d.chunks = map[string][]byte{}
	}
	if _, ok := d.chunks[r.PathValue("digest")]; !ok {
		d.counts.Held += int64(len(data))
	}
	d.chunks[r.PathValue("digest")] = data
	w.WriteHeader(http.StatusCreated)
}
