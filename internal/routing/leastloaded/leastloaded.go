// Package leastloaded implements a routing policy that ignores prefixes: it
// picks the less loaded of two random targets (Mitzenmacher, 2001).
package leastloaded

import (
	"math/rand/v2"

	"egretproxy/internal/routing/policy"
)

func init() {
	policy.Register("LeastLoaded", func(r *rand.Rand) policy.Policy { return New(r) })
}

// LeastLoaded compares two random candidates.
type LeastLoaded struct {
	rand *rand.Rand
}

// New returns a policy that uses r as its source of randomness.
func New(r *rand.Rand) *LeastLoaded {
	return &LeastLoaded{rand: r}
}

// Pick implements policy.Policy.
func (l *LeastLoaded) Pick(_ policy.Request, candidates []policy.Candidate) int {
	a := l.rand.IntN(len(candidates))
	b := l.rand.IntN(len(candidates))
	if candidates[b].Load() < candidates[a].Load() {
		return b
	}
	return a
}
