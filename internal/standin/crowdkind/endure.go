package crowdkind

import "egretproxy/internal/standin/crowd"

// Endure opens crowds in turn at an address. It calls check while each of them stays and
// after it has left, watch before that, and what watch returned at the end.
func Endure(address string, kinds []Kind, watch func(Kind) (end func()), check func()) {
	for _, k := range kinds {
		end := watch(k)
		c := crowd.Open(address, k.Callers, k.Request)
		check()
		c.Close()
		check()
		end()
	}
}
