package siteagent

import (
	"cmp"
	"slices"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/site/discovery"
)

// rank returns the position of the address among the targets of a service,
// and their number. Neighbours are of different failure domains.
func rank(targets map[id.Target]discovery.Target, service id.Service, address string) (at, count int) {
	domains := map[id.Domain][]string{}
	for _, t := range targets {
		if t.Service == service {
			domains[t.Domain] = append(domains[t.Domain], t.Address)
		}
	}
	type place struct {
		row     int
		domain  id.Domain
		address string
	}
	var all []place
	for d, addresses := range domains {
		slices.Sort(addresses)
		for row, a := range addresses {
			all = append(all, place{row, d, a})
		}
	}
	slices.SortFunc(all, func(a, b place) int {
		return cmp.Or(cmp.Compare(a.row, b.row), cmp.Compare(a.domain, b.domain))
	})
	for i, p := range all {
		if p.address == address {
			at = i
		}
	}
	return at, max(len(all), 1)
}
