// Package roundrobin implements a routing policy that selects targets in
// rotation.
package roundrobin

import (
	"math/rand/v2"

	"egretproxy/internal/routing/policy"
)

func init() {
	policy.Register("RoundRobin", func(*rand.Rand) policy.Policy { return &RoundRobin{} })
}

// RoundRobin selects candidates in rotation. The zero value is ready for use.
type RoundRobin struct {
	next int
}

// Pick implements policy.Policy.
func (r *RoundRobin) Pick(_ policy.Request, candidates []policy.Candidate) int {
	r.next++
	return r.next % len(candidates)
}
