package simengine

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// blockBytes is the size of one cache block of a prompt.
const blockBytes = 256

// cache is an LRU cache of prompt blocks. blocks maps the hash of each cached
// prefix to the value of clock at its last use, and clock counts uses.
type cache struct {
	maxBlocks int
	blocks    map[uint64]int
	clock     int
}

// cacheEvent reports a block that was stored in or evicted from the cache.
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

// match returns the number of blocks of a prompt, including the incomplete last
// one, and how many of them are cached from the start without a gap. It marks
// those as used.
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

// store caches the blocks of a prompt. It returns the blocks that are new and those
// that were evicted for them.
func (c *cache) store(prompt string) (stored, evicted []uint64) {
	if c.blocks == nil {
		c.blocks = map[uint64]int{}
	}
	for _, k := range prefixHashes(prompt) {
		c.clock++
		if _, ok := c.blocks[k]; !ok {
			stored = append(stored, k)
		}
		c.blocks[k] = c.clock
	}
	for len(c.blocks) > c.maxBlocks {
		evicted = append(evicted, c.evict())
	}
	return stored, evicted
}

func (c *cache) evict() uint64 {
	var oldest uint64
	oldestUse := c.clock + 1
	for k, v := range c.blocks {
		if v < oldestUse {
			oldest, oldestUse = k, v
		}
	}
	delete(c.blocks, oldest)
	return oldest
}

// cachePrompt caches a prompt and publishes the events of its blocks. The caller
// holds e.mu.
func (e *Engine) cachePrompt(prompt string, now time.Time) {
	stored, evicted := e.cache.store(prompt)
	for _, k := range stored {
		e.publish(cacheEvent{Block: k, Stored: true, At: now})
	}
	for _, k := range evicted {
		e.publish(cacheEvent{Block: k, At: now})
	}
}

const maxEvents = 1024

// publish appends an event to the log, unless it is one of those that get lost. The
// caller holds e.mu.
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

// eventsSince returns the events with a number above the given one that are at least
// Config.EventLag old.
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
