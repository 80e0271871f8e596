// Package share serves the chunks that an agent holds to its peers, and whole
// content to its own target.
package share

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/alexedwards/flow"

	"egretproxy/internal/weights/bitmap"
	"egretproxy/internal/weights/manifest"
	"egretproxy/internal/weights/store"
)

const (
	// LocalUploads bounds the chunks that are served within the region at a
	// time. Few at a time end sooner and are served on sooner.
	LocalUploads = 4
	// CrossRegionUploads bounds those to other regions, which have places of
	// their own, so that a crowd of local peers holds up no region.
	CrossRegionUploads = 2
	// maxCachedManifests bounds the manifests whose chunks are remembered.
	maxCachedManifests = 8
	// maxRequestBytes bounds the body of a question.
	maxRequestBytes = 1 << 20
)

const (
	// ManifestQuery names the manifest that a chunk is fetched for.
	ManifestQuery = "manifest"
	// CrossRegionQuery marks a fetch from another region.
	CrossRegionQuery = "crossing"
	// HaveHeader tells, beside a chunk, what else is held of the manifest.
	HaveHeader    = "Egret-Have"
	maxHaveHeader = 16 << 10
)

// HaveRequest asks which chunks of a manifest are held.
type HaveRequest struct {
	Manifest manifest.Digest
	// Chunks is the numbers of the chunks, or empty for all.
	Chunks []int
}

// HaveResponse tells which chunks are held.
type HaveResponse struct {
	Have bitmap.Bitmap
}

// Share serves from a store.
type Share struct {
	// Store holds the chunks.
	Store *store.Store

	local       atomic.Int64
	crossRegion atomic.Int64

	mu sync.Mutex
	// chunkLists is the chunks of the manifests that were asked for last.
	chunkLists map[manifest.Digest][]manifest.Chunk
}

// Mount adds the pages for peers.
func (s *Share) Mount(mux *flow.Mux) {
	mux.HandleFunc("/chunks/:digest", s.chunk, http.MethodGet)
	mux.HandleFunc("/have", s.have, http.MethodPost)
}

// MountContent adds the page from which the target reads whole content.
func (s *Share) MountContent(mux *flow.Mux) {
	mux.HandleFunc("/content/:manifest", s.content, http.MethodGet)
}

func (s *Share) chunk(w http.ResponseWriter, r *http.Request) {
	s.addHave(w, manifest.Digest(r.URL.Query().Get(ManifestQuery)))
	active, limit := &s.local, int64(LocalUploads)
	if r.URL.Query().Get(CrossRegionQuery) != "" {
		active, limit = &s.crossRegion, CrossRegionUploads
	}
	defer active.Add(-1)
	if active.Add(1) > limit {
		http.Error(w, "too many uploads", http.StatusServiceUnavailable)
		return
	}
	data, ok := s.Store.Get(manifest.Digest(r.PathValue("digest")))
	if !ok {
		http.Error(w, "chunk is not held", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}

// addHave tells, beside a chunk, what else is held of a manifest.
func (s *Share) addHave(w http.ResponseWriter, d manifest.Digest) {
	chunks, ok := s.chunks(d)
	if !ok {
		return
	}
	text, err := s.held(chunks, nil).MarshalText()
	if err == nil && len(text) <= maxHaveHeader {
		w.Header().Set(HaveHeader, string(text))
	}
}

// held returns which chunks are held, of the given ones or of all.
func (s *Share) held(chunks []manifest.Chunk, of []int) bitmap.Bitmap {
	have := bitmap.New(len(chunks))
	if len(of) == 0 {
		for i, c := range chunks {
			if s.Store.Has(c.Digest) {
				have.Set(i)
			}
		}
	}
	for _, i := range of {
		if i >= 0 && i < len(chunks) && s.Store.Has(chunks[i].Digest) {
			have.Set(i)
		}
	}
	return have
}

func (s *Share) have(w http.ResponseWriter, r *http.Request) {
	var q HaveRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&q); err != nil {
		http.Error(w, "question is not valid: "+err.Error(), http.StatusBadRequest)
		return
	}
	chunks, ok := s.chunks(q.Manifest)
	if !ok {
		_ = json.NewEncoder(w).Encode(HaveResponse{})
		return
	}
	_ = json.NewEncoder(w).Encode(HaveResponse{Have: s.held(chunks, q.Chunks)})
}

// content streams the files of a manifest one after the other.
func (s *Share) content(w http.ResponseWriter, r *http.Request) {
	m, ok := s.manifest(manifest.Digest(r.PathValue("manifest")))
	if !ok || !s.complete(m) {
		http.Error(w, "content is not held", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Length", strconv.FormatInt(m.Size(), 10))
	for _, f := range m.Files {
		for _, c := range f.Chunks {
			data, ok := s.Store.Get(c.Digest)
			if !ok {
				panic(http.ErrAbortHandler)
			}
			if _, err := w.Write(data); err != nil {
				return
			}
		}
	}
}

func (s *Share) complete(m manifest.Manifest) bool {
	for _, c := range m.Chunks() {
		if !s.Store.Has(c.Digest) {
			return false
		}
	}
	return true
}

// chunks lists the chunks of a manifest that is held. It decodes each manifest
// once, since every chunk that is served asks for it.
func (s *Share) chunks(d manifest.Digest) ([]manifest.Chunk, bool) {
	if !s.Store.Has(d) {
		return nil, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if list, ok := s.chunkLists[d]; ok {
		return list, true
	}
	m, ok := s.manifest(d)
	if !ok {
		return nil, false
	}
	if len(s.chunkLists) >= maxCachedManifests {
		s.chunkLists = nil
	}
	if s.chunkLists == nil {
		s.chunkLists = map[manifest.Digest][]manifest.Chunk{}
	}
	s.chunkLists[d] = m.Chunks()
	return s.chunkLists[d], true
}

func (s *Share) manifest(d manifest.Digest) (manifest.Manifest, bool) {
	data, ok := s.Store.Get(d)
	if !ok {
		return manifest.Manifest{}, false
	}
	m, err := manifest.Decode(data, d)
	return m, err == nil
}
