package tender

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/site/muster"
)

// chosen returns the member of the group for a piece, by rendezvous hashing,
// so that processes with the same view agree without an exchange.
func chosen(group []string, n int) string {
	best, high := "", uint64(0)
	for _, a := range group {
		h := xxhash.Sum64String(a + "/" + strconv.Itoa(n))
		if best == "" || h > high || h == high && a < best {
			best, high = a, h
		}
	}
	return best
}

// rank returns the position of the address among the targets of a service.
// Targets are ordered by failure domain, so that waves spread over all.
func rank(targets map[id.Target]muster.Target, service id.Service, address string) int {
	var all []string
	for _, t := range targets {
		if t.Service == service {
			all = append(all, string(t.Domain)+"/"+t.Address)
		}
	}
	slices.Sort(all)
	for i, a := range all {
		_, own := cut(a)
		if own == address {
			return i
		}
	}
	return 0
}

func cut(key string) (domain, address string) {
	for i := range key {
		if key[i] == '/' {
			return key[:i], key[i+1:]
		}
	}
	return "", key
}
