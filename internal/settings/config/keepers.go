package config

import (
	"fmt"

	"egretproxy/internal/settings/configfile"
)

// Keepers tells entries, agents and operators where the keepers are.
type Keepers struct {
	// Addresses is the RPC addresses of all keepers.
	Addresses []string
}

func (k *Keepers) check() []configfile.Problem {
	var out problems
	for i, a := range k.Addresses {
		key := fmt.Sprintf("Keepers.Addresses[%d]", i)
		out.require(a != "", key, "is empty")
		out.checkAddress(key, a)
	}
	return out
}
