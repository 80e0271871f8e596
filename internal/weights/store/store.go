// Package store caches verified chunks in bounded memory.
package store

import (
	"container/list"
	"sync"

	"github.com/go-faster/errors"

	"egretproxy/internal/weights/manifest"
)

// ErrFull means that there is no room for the chunk because the remaining
// chunks are pinned.
var ErrFull = errors.New("chunk store is full")

// ErrCorrupt means that data does not match its digest.
var ErrCorrupt = errors.New("chunk does not match its digest")

type entry struct {
	digest manifest.Digest
	data   []byte
	// pins is the number of pins by manifests that list the chunk.
	pins int
}

// Store is a cache of verified chunks. Chunks of pinned manifests are never
// evicted; the others are evicted in least recently used order. It is safe for
// concurrent use.
type Store struct {
	// Limit is the capacity in bytes.
	Limit int64

	mu sync.Mutex
	// size is the number of bytes held. It never exceeds Limit.
	size int64
	held map[manifest.Digest]*list.Element
	// recent lists the entries, most recently used first.
	recent list.List
	// pins counts the pins of each chunk, including chunks that are not held.
	pins map[manifest.Digest]int
}

// Put verifies and stores a chunk. It returns ErrCorrupt or ErrFull.
func (s *Store) Put(d manifest.Digest, data []byte) error {
	if manifest.Sum(data) != d {
		return ErrCorrupt
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	if _, ok := s.held[d]; ok {
		return nil
	}
	if !s.makeRoom(int64(len(data))) {
		return ErrFull
	}
	s.held[d] = s.recent.PushFront(&entry{digest: d, data: data, pins: s.pins[d]})
	s.size += int64(len(data))
	return nil
}

// Get returns the data of a chunk, which the caller must not modify.
func (s *Store) Get(d manifest.Digest) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.held[d]
	if !ok {
		return nil, false
	}
	s.recent.MoveToFront(e)
	return e.Value.(*entry).data, true
}

// Has reports whether the chunk is stored.
func (s *Store) Has(d manifest.Digest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.held[d]
	return ok
}

// Pin protects the chunks of a manifest from eviction until Unpin.
func (s *Store) Pin(m manifest.Manifest) { s.pin(m, 1) }

// Unpin reverts one call of Pin.
func (s *Store) Unpin(m manifest.Manifest) { s.pin(m, -1) }

// Size returns the number of bytes stored.
func (s *Store) Size() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.size
}

func (s *Store) pin(m manifest.Manifest, by int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	for _, c := range m.Chunks() {
		s.pins[c.Digest] += by
		if s.pins[c.Digest] <= 0 {
			delete(s.pins, c.Digest)
		}
		if e, ok := s.held[c.Digest]; ok {
			e.Value.(*entry).pins += by
		}
	}
}

func (s *Store) init() {
	if s.held == nil {
		s.held = map[manifest.Digest]*list.Element{}
		s.pins = map[manifest.Digest]int{}
	}
}

// makeRoom evicts unpinned entries until n bytes fit and reports whether they
// do. The caller must hold s.mu.
func (s *Store) makeRoom(n int64) bool {
	for e := s.recent.Back(); e != nil && s.size+n > s.Limit; {
		previous := e.Prev()
		if c := e.Value.(*entry); c.pins == 0 {
			s.recent.Remove(e)
			delete(s.held, c.digest)
			s.size -= int64(len(c.data))
		}
		e = previous
	}
	return s.size+n <= s.Limit
}
