// Package planner defines the interface of the algorithms that choose which
// chunk to fetch from which source. Implementations register themselves by
// name.
package planner

import (
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/weights/bitmap"
)

// Member is an agent that holds or fetches the content.
type Member struct {
	Target id.Target
	Region id.Region
}

// Pick is a transfer to start.
type Pick struct {
	// Chunk is the index of the chunk in the manifest.
	Chunk int
	// Peer is the agent to fetch from, or empty for the origin.
	Peer id.Target
	// CrossRegion means that the chunk crosses a link between regions.
	CrossRegion bool
}

// Failure is the reason why a transfer did not deliver its chunk.
type Failure uint8

// Reasons for failed transfers.
const (
	// Interrupted means that the source closed the connection, stalled or
	// returned an error.
	Interrupted Failure = iota
	// Corrupt means that the data did not match the digest.
	Corrupt
	// Busy means that the source asked the client to retry later.
	Busy
)

// Query asks a peer which of the given chunks it holds.
type Query struct {
	Peer   id.Target
	Chunks []int
	// All asks for every chunk that the peer holds.
	All bool
}

// Planner chooses the transfers of one agent for one manifest. It is not safe
// for concurrent use.
type Planner interface {
	// SetMembers replaces the list of other agents that hold or fetch the
	// content.
	SetMembers(members []Member)
	// MarkHeld records that this agent holds a chunk.
	MarkHeld(chunk int)
	// AddPeerChunks adds to the chunks that a peer is known to hold.
	AddPeerChunks(peer id.Target, have bitmap.Bitmap, now time.Time)
	// Finished records a transfer that delivered its chunk.
	Finished(p Pick, now time.Time)
	// Failed records a transfer that ended without its chunk.
	Failed(p Pick, f Failure, now time.Time)
	// Next returns up to free transfers to start now.
	Next(free int, now time.Time) []Pick
	// CrossRegionFetchers returns the number of agents in this region that
	// fetch over links between regions.
	CrossRegionFetchers() int
	// Queries returns the queries to send to peers now.
	Queries(now time.Time) []Query
}

// Config holds the parameters of a planner.
type Config struct {
	Self   Member
	Chunks int
	// Seed initializes the random choices. It differs between agents.
	Seed uint64
	// Manifest is the digest of the manifest, the same for all agents.
	Manifest string
	// OriginPerRegion means that each region reaches the origin over a link of
	// its own, so that each region fetches one copy from it.
	OriginPerRegion bool
	// OriginRegion is the region whose agents reach the origin without
	// crossing a link between regions, or empty if there is none.
	OriginRegion id.Region
	// ProgressTimeout is the time without a new chunk in the region after
	// which one more agent becomes responsible for each missing chunk.
	ProgressTimeout time.Duration
}

// Rand returns a random generator seeded from the config.
func (c Config) Rand() *rand.Rand {
	return rand.New(rand.NewPCG(c.Seed, uint64(c.Chunks)))
}

// Factory is a function that returns a new planner.
type Factory func(c Config) Planner

var planners = map[string]Factory{}

// Register adds a planner under a name. It must be called from init functions
// only.
func Register(name string, create Factory) {
	planners[name] = create
}

// New returns a planner of the registered name.
func New(name string, c Config) (Planner, error) {
	create, ok := planners[name]
	if !ok {
		return nil, errors.Errorf("unknown planner %q", name)
	}
	return create(c), nil
}
