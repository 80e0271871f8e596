// Package affinity is the routing policy that sends requests with a common
// prefix to the same few targets, so that their caches serve it, without any
// exchange between entries: rendezvous hashing (Thaler and Ravishankar, 1998)
// with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2018).
package affinity

import (
	"encoding/binary"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"egretproxy/internal/routing/leastloaded"
	"egretproxy/internal/routing/policy"
)

const (
	// maxLoadRatio is the ratio to the mean load up to which a target is preferred
	// for its cache.
	maxLoadRatio = 1.25
	// minLoadBound is the load below which a target is never passed over.
	minLoadBound = 0.25
	// targetsPerPrefix is the number of targets that a prefix is spread over.
	targetsPerPrefix = 3
)

func init() {
	policy.Register("Affinity", func(r *rand.Rand) policy.Policy { return New(r) })
}

// Affinity prefers the targets that a prefix ranks first.
type Affinity struct {
	fallback *leastloaded.LeastLoaded
}

// New returns a policy with a source of choices.
func New(r *rand.Rand) *Affinity {
	return &Affinity{fallback: leastloaded.New(r)}
}

// Pick implements policy.Policy.
func (a *Affinity) Pick(r policy.Request, candidates []policy.Candidate) int {
	if r.Prefix == 0 {
		return a.fallback.Pick(r, candidates)
	}
	bound := max(minLoadBound, maxLoadRatio*meanLoad(candidates))
	for _, i := range topRanked(r.Prefix, candidates) {
		if candidates[i].Load() <= bound {
			return i
		}
	}
	return a.fallback.Pick(r, candidates)
}

func meanLoad(candidates []policy.Candidate) float64 {
	used, limit := 0, 0
	for _, c := range candidates {
		used += c.InFlight
		limit += c.Limit
	}
	if limit == 0 {
		return 1
	}
	return float64(used) / float64(limit)
}

// topRanked returns the indexes of the first choices for a prefix, best first.
func topRanked(prefix uint64, candidates []policy.Candidate) []int {
	var best [targetsPerPrefix]int
	var score [targetsPerPrefix]uint64
	n := 0
	for i, c := range candidates {
		s := hashScore(prefix, c)
		at := n
		for at > 0 && s > score[at-1] {
			at--
		}
		if at == targetsPerPrefix {
			continue
		}
		n = min(n+1, targetsPerPrefix)
		copy(best[at+1:n], best[at:n-1])
		copy(score[at+1:n], score[at:n-1])
		best[at], score[at] = i, s
	}
	return best[:n:n]
}

func hashScore(prefix uint64, c policy.Candidate) uint64 {
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], prefix)
	var d xxhash.Digest
	d.ResetWithSeed(prefix)
	_, _ = d.Write(key[:])
	_, _ = d.WriteString(string(c.Target))
	return d.Sum64()
}
