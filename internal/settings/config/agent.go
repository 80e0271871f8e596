package config

import (
	"fmt"
	"net/url"
	"time"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/settings/configfile"
	"egretproxy/internal/settings/unit"
)

// Agent is the section of the agent role.
type Agent struct {
	// Listen is the address for entries, peers and the target.
	Listen string
	Target AgentTarget
	// Weights is needed for engines only.
	Weights Weights
	// DrainTimeout is the longest wait for requests in progress.
	DrainTimeout unit.Duration
}

// AgentTarget describes the target beside the agent.
type AgentTarget struct {
	ID id.Target
	// Address is engine://IP:PORT or service://IP:PORT.
	Address string
	// Service names the plain service. It is empty for engines.
	Service id.Service
	// Slots is the number of requests that the target bears when warm.
	Slots int
	// ColdSlots is the number that it bears in a cold start.
	ColdSlots int
}

// Weights says where chunks come from and how many are held.
type Weights struct {
	// Sources is the addresses of weight stores and origins in order of
	// preference, such as store://IP:PORT or origin://IP:PORT.
	Sources []string
	// Memory bounds the chunks held.
	Memory unit.Bytes
	// InstanceRate bounds the traffic from peers and sources.
	InstanceRate unit.BitRate
	// RegionRate bounds the traffic from other regions.
	RegionRate unit.BitRate
	// StallTimeout is the time without progress after which a chunk is
	// fetched from elsewhere.
	StallTimeout unit.Duration
	// Parallel is the number of chunks in transfer at a time.
	Parallel int
	// OriginPerRegion tells that the origin reaches each region by a link
	// of its own, so that each region draws one copy from it.
	OriginPerRegion bool
	// OriginRegion is the region whose instances reach the sources without
	// crossing a link between regions, or empty if there is none.
	OriginRegion id.Region
	// Planner names the choice of sources: Swarm or Direct.
	Planner string
}

func defaultAgent() Agent {
	return Agent{
		DrainTimeout: unit.Duration(60 * time.Second),
		Weights: Weights{
			Memory:       1 << 30,
			InstanceRate: 10_000_000_000,
			RegionRate:   20_000_000,
			StallTimeout: unit.Duration(2 * time.Second),
			Parallel:     4,
			Planner:      "Swarm",
		},
	}
}

func (a *Agent) check() []configfile.Problem {
	var out problems
	out.checkAddress("Agent.Listen", a.Listen)
	if a.Listen == "" {
		return out
	}
	t := a.Target
	out.require(t.ID != "", "Agent.Target.ID", "is missing")
	u, err := url.Parse(t.Address)
	ok := err == nil && (u.Scheme == "engine" || u.Scheme == "service")
	out.require(ok, "Agent.Target.Address", "is no engine://IP:PORT or service://IP:PORT")
	if ok {
		out.checkAddress("Agent.Target.Address", u.Host)
		out.require(u.Scheme != "service" || t.Service != "", "Agent.Target.Service", "is missing")
	}
	out.require(t.Slots > 0, "Agent.Target.Slots", "is below 1")
	out.require(t.ColdSlots > 0 && t.ColdSlots <= t.Slots, "Agent.Target.ColdSlots", "is not between 1 and Slots")
	out = append(out, a.Weights.check()...)
	return out
}

func (w *Weights) check() []configfile.Problem {
	var out problems
	for i, s := range w.Sources {
		key := fmt.Sprintf("Agent.Weights.Sources[%d]", i)
		u, err := url.Parse(s)
		out.require(err == nil && u.Host != "", key, "is no address such as origin://IP:PORT")
		if err == nil {
			out.checkAddress(key, u.Host)
		}
	}
	out.require(w.Memory > 0, "Agent.Weights.Memory", "is not positive")
	out.require(w.InstanceRate > 0, "Agent.Weights.InstanceRate", "is not positive")
	out.require(w.RegionRate > 0, "Agent.Weights.RegionRate", "is not positive")
	out.require(w.StallTimeout > 0, "Agent.Weights.StallTimeout", "is not positive")
	out.require(w.Parallel > 0 && w.Parallel <= 64, "Agent.Weights.Parallel", "is not between 1 and 64")
	return out
}
