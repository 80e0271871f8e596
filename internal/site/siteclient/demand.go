package siteclient

import "egretproxy/internal/fleet/id"

// trafficShare returns the process's part of the demand of all entries. Of several
// keepers, the one that knows the largest demand knows the most entries.
func trafficShare(lists map[string]*targetList) map[id.Service]float64 {
	out, largest := map[id.Service]float64{}, map[id.Service]float64{}
	for _, l := range lists {
		for k, total := range l.totalDemand {
			own, reported := l.demand[k]
			if !reported || total <= largest[k] {
				continue
			}
			largest[k] = total
			out[k] = min(own/total, 1)
		}
	}
	return out
}
