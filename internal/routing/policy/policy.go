// Package policy is the interface to the choice of targets. Policies register
// themselves by name.
package policy

import (
	"math/rand/v2"

	"github.com/go-faster/errors"

	"egretproxy/internal/fleet/id"
)

// Candidate is a target that could take the request now.
type Candidate struct {
	Target id.Target
	Domain id.Domain
	// InFlight is the estimated requests in progress.
	InFlight int
	// Limit is the requests that the target bears now.
	Limit int
}

// Load returns the part of the limit that is in use.
func (c Candidate) Load() float64 {
	if c.Limit <= 0 {
		return 1
	}
	return float64(c.InFlight) / float64(c.Limit)
}

// Request is what a policy knows of a request.
type Request struct {
	// Prefix is a hash of the part that a prompt may share with others, or
	// zero.
	Prefix uint64
}

// Policy chooses a target.
type Policy interface {
	// Pick returns the index of one of the candidates, of which there is
	// at least one.
	Pick(r Request, candidates []Candidate) int
}

// Factory makes a policy.
type Factory func(rand *rand.Rand) Policy

var factories = map[string]Factory{}

// Register makes a policy known by name.
func Register(name string, create Factory) {
	factories[name] = create
}

// New returns the policy of that name.
func New(name string, rand *rand.Rand) (Policy, error) {
	create, ok := factories[name]
	if !ok {
		return nil, errors.Errorf("no routing policy is named %q", name)
	}
	return create(rand), nil
}
