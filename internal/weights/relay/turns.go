package relay

import "slices"

// Assigned returns the member of the group for a piece, or nothing. Members take
// turns, so that each has as many pieces as the others, and processes with the
// same view agree without an exchange.
func Assigned(group []string, n int) string {
	if len(group) == 0 {
		return ""
	}
	return PeerOrder(group, n)[0]
}

// PeerOrder returns the members of the group in the order in which they are asked
// for a piece.
func PeerOrder(group []string, n int) []string {
	sorted := slices.Sorted(slices.Values(group))
	if len(sorted) == 0 {
		return nil
	}
	at := n % len(sorted)
	return append(sorted[at:len(sorted):len(sorted)], sorted[:at]...)
}
