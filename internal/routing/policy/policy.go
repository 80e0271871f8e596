// Package policy defines the interface of routing policies, which select
// targets, and a registry of policies by name.
package policy

import (
	"math/rand/v2"

	"github.com/go-faster/errors"

	"egretproxy/internal/fleet/id"
)

// Candidate is a target that can accept the request now.
type Candidate struct {
	Target id.Target
	Domain id.Domain
	// InFlight is the estimated number of requests in progress.
	InFlight int
	// Limit is the number of concurrent requests that the target accepts now.
	Limit int
}

// Load returns the fraction of the limit in use.
func (c Candidate) Load() float64 {
	if c.Limit <= 0 {
		return 1
	}
	return float64(c.InFlight) / float64(c.Limit)
}

// Request is the part of a request that policies use.
type Request struct {
	// Prefix is a hash of the part of the prompt that other requests may
	// share, or zero.
	Prefix uint64
}

// Policy selects a target for a request.
type Policy interface {
	// Pick returns the index of one of the candidates. There is at least one
	// candidate.
	Pick(r Request, candidates []Candidate) int
}

// Factory creates a policy that uses the given source of randomness.
type Factory func(rand *rand.Rand) Policy

var factories = map[string]Factory{}

// Register adds a policy to the registry.
func Register(name string, create Factory) {
	factories[name] = create
}

// New returns a new instance of the named policy, or an error if there is
// none.
func New(name string, rand *rand.Rand) (Policy, error) {
	create, ok := factories[name]
	if !ok {
		return nil, errors.Errorf("no routing policy is named %q", name)
	}
	return create(rand), nil
}
