package siteclient

import (
	"time"

	"k8s.io/klog/v2"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/boottime"
	"egretproxy/internal/site/deflate"
	"egretproxy/internal/site/watch"
)

// applyState reports whether the state was applied. The ages in it are those at
// builtAt of the boottime clock. The caller holds mu.
func (c *Client) applyState(s *watch.State, builtAt time.Duration) bool {
	if s.PlanIndex > c.planIndex {
		document, err := deflate.Decompress(s.Document)
		if err != nil {
			klog.ErrorS(err, "Failed to decompress plan", "Version", s.Version)
			return false
		}
		p, err := c.Decode(document)
		if err != nil {
			klog.ErrorS(err, "Failed to decode plan", "Version", s.Version)
			return false
		}
		c.plan, c.planIndex = p, s.PlanIndex
		c.planOmittedSince, c.planReceivedAt = time.Time{}, time.Now()
		klog.InfoS("Plan is in force", "Version", p.Version, "Routes", len(p.Routes), "Position", s.Index)
	}
	c.index = max(c.index, s.Index)
	c.withdrawn = map[id.Domain]bool{}
	for _, d := range s.Withdrawn {
		c.withdrawn[d] = true
	}
	c.applyWeights(s.Weights, builtAt)
	c.applyQuarantine(s.Quarantine, builtAt)
	klog.InfoS("Agreed state changed", "Position", s.Index, "Withdrawn", s.Withdrawn, "Weights", s.Weights, "ShutOut", s.Quarantine,
		"ReadAfterMs", (boottime.Now() - builtAt).Milliseconds())
	return true
}

// applyWeights keeps the greatest age that any keeper reported for a version,
// since a restarted keeper reports a smaller one. The caller holds mu.
func (c *Client) applyWeights(versions []watch.WeightsVersion, builtAt time.Duration) {
	old := c.weights
	c.weights = nil
	for _, w := range versions {
		since := builtAt - time.Duration(w.AgeMs)*time.Millisecond
		for _, o := range old {
			if o.Model == w.Model && o.Version == w.Version {
				since = min(since, o.Since)
			}
		}
		c.weights = append(c.weights, WeightsVersion{Model: w.Model, Version: w.Version, Since: since})
	}
}

// applyQuarantine takes over the verdicts in force. The caller holds mu.
func (c *Client) applyQuarantine(verdicts []watch.Verdict, builtAt time.Duration) {
	c.quarantine = nil
	for _, v := range verdicts {
		c.quarantine = append(c.quarantine, Verdict{v.Verdict, builtAt - time.Duration(v.AgeMs)*time.Millisecond})
	}
}
