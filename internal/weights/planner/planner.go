// Package planner is the interface to the choice of chunks and sources.
// Planners register themselves by name.
package planner

import (
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/weights/bitmap"
)

// Member is one agent that holds or fetches the content.
type Member struct {
	Target id.Target
	Region id.Region
}

// Pick is one transfer to start.
type Pick struct {
	// Chunk is the number of the chunk in the manifest.
	Chunk int
	// Peer is the agent to fetch from, or empty for the origin.
	Peer id.Target
	// CrossRegion tells that the chunk comes over a link between regions.
	CrossRegion bool
}

// Failure tells why a transfer ended without the chunk.
type Failure uint8

// Failures.
const (
	// Interrupted means that the source broke off or stood still.
	Interrupted Failure = iota
	// Corrupt means that the bytes did not match the digest.
	Corrupt
	// Busy means that the source asked to come back later.
	Busy
)

// Query asks a peer which of some chunks it holds.
type Query struct {
	Peer   id.Target
	Chunks []int
	// All asks for everything that the peer holds.
	All bool
}

// Planner chooses the transfers of one agent for one manifest. It is not safe
// for concurrent use.
type Planner interface {
	// SetMembers says which other agents hold or fetch the content.
	SetMembers(members []Member)
	// MarkHeld notes that this agent holds a chunk.
	MarkHeld(chunk int)
	// AddPeerChunks notes what a peer holds. Earlier notes stay.
	AddPeerChunks(peer id.Target, have bitmap.Bitmap, now time.Time)
	// Finished notes a transfer that brought its chunk.
	Finished(p Pick, now time.Time)
	// Failed notes that a transfer ended without the chunk.
	Failed(p Pick, f Failure, now time.Time)
	// Next returns up to free transfers to start now.
	Next(free int, now time.Time) []Pick
	// CrossRegionFetchers returns the number of agents of the own region that fetch
	// over links between regions.
	CrossRegionFetchers() int
	// Queries returns what to ask peers now.
	Queries(now time.Time) []Query
}

// Config is what a planner is created for.
type Config struct {
	Self   Member
	Chunks int
	// Seed spreads choices. It differs between agents.
	Seed uint64
	// Manifest is the digest of the content, the same for all agents.
	Manifest string
	// OriginPerRegion tells that the origin reaches each region by a link
	// of its own, so that one copy a region is drawn from it.
	OriginPerRegion bool
	// OriginRegion is the region whose agents reach the origin without
	// crossing a link between regions, or empty if there is none.
	OriginRegion id.Region
	// ProgressTimeout is the time without a new chunk in the region after which
	// another agent takes over a duty.
	ProgressTimeout time.Duration
}

// Rand returns the source of choices for the config.
func (c Config) Rand() *rand.Rand {
	return rand.New(rand.NewPCG(c.Seed, uint64(c.Chunks)))
}

// Create makes a planner.
type Create func(c Config) Planner

var planners = map[string]Create{}

// Register makes a planner known by name.
func Register(name string, create Create) {
	planners[name] = create
}

// New returns the planner of that name.
func New(name string, c Config) (Planner, error) {
	create, ok := planners[name]
	if !ok {
		return nil, errors.Errorf("no planner is named %q", name)
	}
	return create(c), nil
}
