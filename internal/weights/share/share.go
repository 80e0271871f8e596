// Package share serves the chunks held by an agent to its peers, and complete
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
	// LocalUploads limits the concurrent uploads within the region. With few
	// at a time, each chunk arrives sooner and can be forwarded sooner.
	LocalUploads = 4
	// CrossRegionUploads limits the concurrent uploads to other regions. The
	// separate limit keeps many local peers from blocking a whole region.
	CrossRegionUploads = 2
	// maxCachedManifests limits the manifests whose chunk lists are cached.
	maxCachedManifests = 8
	// maxRequestBytes limits the body of a HaveRequest.
	maxRequestBytes = 1 << 20
)

const (
	// ManifestQuery is the query parameter with the digest of the manifest
	// that a chunk is fetched for.
	ManifestQuery = "manifest"
	// CrossRegionQuery is the query parameter that marks a fetch from another
	// region.
	CrossRegionQuery = "crossing"
	// HaveHeader is the response header of a chunk with the bitmap of all held
	// chunks of the manifest.
	HaveHeader    = "Egret-Have"
	maxHaveHeader = 16 << 10
)

// HaveRequest asks which chunks of a manifest are held.
type HaveRequest struct {
	Manifest manifest.Digest
	// Chunks lists chunk indexes; empty means all chunks.
	Chunks []int
}

// HaveResponse contains the held chunks.
type HaveResponse struct {
	Have bitmap.Bitmap
}

// Share serves the chunks of a store over HTTP. It is safe for concurrent use.
type Share struct {
	Store *store.Store

	local       atomic.Int64
	crossRegion atomic.Int64

	mu sync.Mutex
	// chunkLists caches the chunk lists of requested manifests.
	chunkLists map[manifest.Digest][]manifest.Chunk
}

// Mount registers the handlers for peers.
func (s *Share) Mount(mux *flow.Mux) {
	mux.HandleFunc("/chunks/:digest", s.chunk, http.MethodGet)
	mux.HandleFunc("/have", s.have, http.MethodPost)
}

// MountContent registers the handler from which the target reads complete
// content.
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

// addHave sets HaveHeader to the held chunks of the manifest, if it is known
// and the bitmap fits.
func (s *Share) addHave(w http.ResponseWriter, d manifest.Digest) {
	chunks, ok := s.chunks(d)
	if !ok {
		return
	}
	text, err := s.heldChunks(chunks, nil).MarshalText()
	if err == nil && len(text) <= maxHaveHeader {
		w.Header().Set(HaveHeader, string(text))
	}
}

// heldChunks returns which of the chunks are held, restricted to the indexes in
// subset unless it is empty.
func (s *Share) heldChunks(chunks []manifest.Chunk, subset []int) bitmap.Bitmap {
	have := bitmap.New(len(chunks))
	if len(subset) == 0 {
		for i, c := range chunks {
			if s.Store.Has(c.Digest) {
				have.Set(i)
			}
		}
	}
	for _, i := range subset {
		if i >= 0 && i < len(chunks) && s.Store.Has(chunks[i].Digest) {
			have.Set(i)
		}
	}
	return have
}

func (s *Share) have(w http.ResponseWriter, r *http.Request) {
	var req HaveRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&req); err != nil {
		http.Error(w, "question is not valid: "+err.Error(), http.StatusBadRequest)
		return
	}
	chunks, ok := s.chunks(req.Manifest)
	if !ok {
		_ = json.NewEncoder(w).Encode(HaveResponse{})
		return
	}
	_ = json.NewEncoder(w).Encode(HaveResponse{Have: s.heldChunks(chunks, req.Chunks)})
}

// content sends the concatenated files of a manifest.
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

// chunks returns the chunk list of a held manifest. Decoded lists are cached
// because every chunk request needs one.
func (s *Share) chunks(d manifest.Digest) ([]manifest.Chunk, bool) {
	if !s.Store.Has(d) {
		return nil, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if cached, ok := s.chunkLists[d]; ok {
		return cached, true
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
