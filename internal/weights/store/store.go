// Package store holds chunks in bounded memory.
package store

import (
	"container/list"
	"sync"

	"github.com/go-faster/errors"

	"egretproxy/internal/weights/manifest"
)

// ErrFull tells that all held chunks are in use and there is no room.
var ErrFull = errors.New("chunk store is full")

// ErrCorrupt tells that bytes do not match their digest.
var ErrCorrupt = errors.New("chunk does not match its digest")

type entry struct {
	digest manifest.Digest
	data   []byte
	// pins is the number of manifests in use that name the chunk.
	pins int
}

// Store holds verified chunks. Chunks of pinned manifests stay; others make
// room, the least recently used first. It is safe for concurrent use.
type Store struct {
	// Limit is the most bytes held.
	Limit int64

	mu sync.Mutex
	// size never exceeds Limit.
	size int64
	held map[manifest.Digest]*list.Element
	// recent lists entries from the most recently used.
	recent list.List
	// pins counts pins of chunks, held or not.
	pins map[manifest.Digest]int
}

// Put verifies and holds a chunk.
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

// Get returns a chunk, which must not be changed.
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

// Has reports whether a chunk is held.
func (s *Store) Has(d manifest.Digest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.held[d]
	return ok
}

// Pin keeps the chunks of a manifest until Unpin.
func (s *Store) Pin(m manifest.Manifest) { s.pin(m, 1) }

// Unpin lets the chunks of a manifest make room again.
func (s *Store) Unpin(m manifest.Manifest) { s.pin(m, -1) }

// Size returns the bytes held.
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
