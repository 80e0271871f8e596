package siteclient

import (
	"maps"
	"time"

	"egretproxy/internal/fleet/id"
)

// publish makes a new view if anything may have changed since the last one.
// Merging the lists of targets is costly.
func (c *Client) publish(changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := &View{
		Plan: c.plan, Withdrawn: c.withdrawn, Weights: c.weights, Quarantine: c.quarantine,
		Entries: 1, Keepers: map[string]id.Region{}, OtherMirrors: map[string]id.Region{}, TrafficShare: trafficShare(c.lists),
	}
	retaining := false
	for a, l := range c.lists {
		v.Entries = max(v.Entries, l.entries)
		retaining = retaining || len(l.retained) > 0
		if l.referral || time.Since(l.lastResponse) >= c.watchWait()+responseTimeout {
			continue
		}
		v.Keepers[a] = l.region
		maps.Copy(v.OtherMirrors, l.mirrors)
	}
	old := c.view.Load()
	if !changed && !retaining && len(v.TrafficShare) == 0 && old != nil && v.Entries == old.Entries &&
		maps.Equal(v.Keepers, old.Keepers) && maps.Equal(v.OtherMirrors, old.OtherMirrors) {
		return
	}
	v.Targets = merge(c.lists)
	for _, l := range c.lists {
		if time.Now().After(l.retainedUntil) {
			l.retained = nil
		}
	}
	c.view.Store(v)
	if c.OnChange != nil {
		c.OnChange(v)
	}
}
