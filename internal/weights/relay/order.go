package relay

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// Assigned returns the group member responsible for piece n, or an empty
// string for an empty group. Pieces are assigned round robin over the sorted
// members, so that the load is even and processes with the same view agree
// without communication.
func Assigned(group []string, n int) string {
	if len(group) == 0 {
		return ""
	}
	return PeerOrder(group, n)[0]
}

// PeerOrder returns the group members in the order in which they are asked for
// piece n.
func PeerOrder(group []string, n int) []string {
	sorted := slices.Sorted(slices.Values(group))
	if len(sorted) == 0 {
		return nil
	}
	start := n % len(sorted)
	return append(sorted[start:len(sorted):len(sorted)], sorted[:start]...)
}

// order returns the piece numbers by priority. Pieces of equal priority are
// shuffled, so that processes do not all ask the same source at once. With
// mirrors they are ascending, because mirrors fetch them in this order.
func (r *Relay) order(b Bundle, count int) []int {
	out := rand.Perm(count)
	if r.Mirror || len(r.Routes(b, anyPiece).Mirrors) > 0 {
		slices.Sort(out)
	}
	slices.SortStableFunc(out, func(x, y int) int { return cmp.Compare(r.Priority(b, x), r.Priority(b, y)) })
	return out
}
