package config

import (
	"fmt"

	"egretproxy/internal/settings/file"
)

// Keepers tells entries, agents and operators where the keepers are.
type Keepers struct {
	// Addresses is the RPC addresses of all keepers.
	Addresses []string
}

func (k *Keepers) check() []file.Problem {
	var out problems
	for i, a := range k.Addresses {
		key := fmt.Sprintf("Keepers.Addresses[%d]", i)
		out.add(a != "", key, "is empty")
		out.address(key, a)
	}
	return out
}
