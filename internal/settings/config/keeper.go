package config

import (
	"fmt"
	"time"

	"egretproxy/internal/settings/configfile"
	"egretproxy/internal/settings/unit"
)

// Keeper is the section of the keeper role.
type Keeper struct {
	// Listen is the address for RPCs.
	Listen string
	// Data is the directory for the Raft log and its snapshots.
	Data string
	// Members is the membership of the group at its first start.
	Members []KeeperMember
	// Tick is the unit of Raft's timeouts: an election starts after 10 to 20
	// ticks without a leader.
	Tick unit.Duration
	// SnapshotEntries is the number of log entries between snapshots.
	SnapshotEntries int
	// LossTimeout is the time without a renewal after which a target is
	// removed.
	LossTimeout unit.Duration
}

// KeeperMember is a keeper of the initial group.
type KeeperMember struct {
	Name    string
	Address string
}

const (
	minTick = 5 * time.Millisecond
	maxTick = 200 * time.Millisecond
	// minLossTimeout exceeds the lease, so that a target is only removed after
	// its agent has stopped acting.
	minLossTimeout = 3 * time.Second
)

func defaultKeeper() Keeper {
	return Keeper{
		Tick:            unit.Duration(50 * time.Millisecond),
		SnapshotEntries: 10_000,
		LossTimeout:     unit.Duration(5 * time.Second),
	}
}

func (k *Keeper) check() []configfile.Problem {
	var out problems
	out.checkAddress("Keeper.Listen", k.Listen)
	out.require(k.Listen == "" || k.Data != "", "Keeper.Data", "is missing")
	out.require(k.Tick.Std() >= minTick && k.Tick.Std() <= maxTick, "Keeper.Tick", "is not between 5ms and 200ms")
	out.require(k.SnapshotEntries >= 100, "Keeper.SnapshotEntries", "is below 100")
	out.require(k.LossTimeout.Std() >= minLossTimeout, "Keeper.LossTimeout", "is below 3s")
	for i, m := range k.Members {
		key := fmt.Sprintf("Keeper.Members[%d]", i)
		out.require(m.Name != "", key+".Name", "is missing")
		out.require(m.Address != "", key+".Address", "is missing")
		out.checkAddress(key+".Address", m.Address)
	}
	return out
}
