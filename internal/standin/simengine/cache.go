package simengine

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// blockBytes is the size of one block of a prompt.
const blockBytes = 256

// cache holds the blocks of prompts, the least recently used leaving first.
type cache struct {
	maxBlocks int
	blocks    map[uint64]int
	clock     int
}

// cacheEvent tells of a block that entered or left the cache.
type cacheEvent struct {
	Number int
	Block  uint64
	Stored bool
	At     time.Time `json:"-"`
}

func (c *cache) clear() { c.blocks = nil }

// prefixHashes returns the hash of each prefix that ends at a block boundary.
func prefixHashes(prompt string) []uint64 {
	var out []uint64
	var d xxhash.Digest
	d.Reset()
	for len(prompt) >= blockBytes {
		_, _ = d.WriteString(prompt[:blockBytes])
		out = append(out, d.Sum64())
		prompt = prompt[blockBytes:]
	}
	return out
}

// match returns the blocks of a prompt and how many from its start are held.
func (c *cache) match(prompt string) (blocks, hit int) {
	all := prefixHashes(prompt)
	for _, k := range all {
		if _, ok := c.blocks[k]; !ok {
			break
		}
		c.clock++
		c.blocks[k] = c.clock
		hit++
	}
	return len(all) + 1, hit
}

// store holds the blocks of a prompt and returns those that came and went.
func (c *cache) store(prompt string) (came, went []uint64) {
	if c.blocks == nil {
		c.blocks = map[uint64]int{}
	}
	for _, k := range prefixHashes(prompt) {
		c.clock++
		if _, ok := c.blocks[k]; !ok {
			came = append(came, k)
		}
		c.blocks[k] = c.clock
	}
	for len(c.blocks) > c.maxBlocks {
		went = append(went, c.evict())
	}
	return came, went
}

func (c *cache) evict() uint64 {
	var oldest uint64
	at := c.clock + 1
	for k, v := range c.blocks {
		if v < at {
			oldest, at = k, v
		}
	}
	delete(c.blocks, oldest)
	return oldest
}

// cachePrompt caches a prompt and makes its events known, some of them lost.
func (e *Engine) cachePrompt(prompt string, now time.Time) {
	came, went := e.cache.store(prompt)
	for _, k := range came {
		e.publish(cacheEvent{Block: k, Stored: true, At: now})
	}
	for _, k := range went {
		e.publish(cacheEvent{Block: k, At: now})
	}
}

const maxEvents = 1024

func (e *Engine) publish(v cacheEvent) {
	e.sequence++
	v.Number = e.sequence
	if e.cfg.EventLossInterval > 0 && v.Number%e.cfg.EventLossInterval == 0 {
		return
	}
	e.events = append(e.events, v)
	if len(e.events) > maxEvents {
		e.events = e.events[1:]
	}
}

// eventsSince returns the events after a number that are old enough to be told.
func (e *Engine) eventsSince(number int, now time.Time) []cacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := []cacheEvent{}
	for _, v := range e.events {
		if v.Number > number && now.Sub(v.At) >= e.cfg.EventLag {
			out = append(out, v)
		}
	}
	return out
}
