// Package allotment divides the capacity of one target among the entries that
// send requests to it. The agent beside the target allots shares ahead, by
// demand, so that an entry needs no message before a request and all entries
// together stay within what the target can bear.
package allotment

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Lifetime is how long an entry may use a share after it sent the claim
	// that the share answers.
	Lifetime = 3 * time.Second
	// claimLifetime is how long a share counts as used after the claim arrived.
	// A claim arrives after it was sent, so the entry has stopped by then.
	claimLifetime = Lifetime + 200*time.Millisecond
	// equalPart is the part of the capacity that is split equally. The rest
	// follows the entries' demand. An entry without demand needs some of it to
	// start when demand begins.
	equalPart = 0.25
	// homeWeight is the preference for entries in the target's region, as a
	// multiple of their demand. Requests within a region use no slow link.
	homeWeight = 4
	// leastDemand is the demand in requests per second that an entry counts with
	// at least in the selection.
	leastDemand = 0.25
)

// Claim is what an entry says of itself.
type Claim struct {
	// Demand is the number of requests per second that come to the entry for
	// the target's service.
	Demand float64
	// Home means that the entry is in the target's region.
	Home bool
	// Held is the share in use at the entry.
	Held float64
}

// Share is an entry's part of the target's capacity.
type Share struct {
	// Part is between 0 and 1. Entries that aren't selected have 0.
	Part float64
	// Sharers is the number of selected entries. It is 0 if no shares are
	// allotted yet.
	Sharers int
}

// Allotter allots the shares of one target. Its fields are set before use. It is
// not safe for concurrent use.
type Allotter struct {
	// Target identifies the target. Targets select different entries.
	Target string
	// MaxSharers is the greatest number of entries that are selected.
	MaxSharers int

	// began is when the first claim arrived. An earlier process may have
	// allotted shares that are still in use until claimLifetime later.
	began  time.Time
	claims map[netip.AddrPort]*claim
	// entries holds the claims in the order of the selection: the first
	// MaxSharers are selected.
	entries []*claim
	// sharers is the number of selected entries at the last Allot, or 0.
	sharers int
}

type claim struct {
	Claim
	from netip.AddrPort
	at   time.Time
	// allotted is the newest share sent to the entry. used is the greatest one
	// that it may use: the shares before, until the entry has confirmed a lower
	// one.
	allotted, used float64
	// hash is the logarithm of a number between 0 and 1 that depends on the
	// target and the entry. The selection takes the greatest hash / weight.
	hash, weight float64
	// balance is the part of a place that the entry is owed.
	balance float64
}

// Claim records the newest claim of an entry.
func (a *Allotter) Claim(now time.Time, from netip.AddrPort, in Claim) {
	if a.began.IsZero() {
		a.began = now
	}
	if a.claims == nil {
		a.claims = map[netip.AddrPort]*claim{}
	}
	c := a.claims[from]
	if c == nil {
		c = &claim{from: from, hash: a.hash(from)}
		a.claims[from] = c
		a.entries = append(a.entries, c)
	}
	c.Claim, c.at = in, now
	if in.Held <= c.allotted {
		c.used = c.allotted
	}
	if w := in.weight(); w != c.weight {
		c.weight = w
		a.sortEntries()
	}
	a.expire(now)
}

func (a *Allotter) expire(now time.Time) {
	a.entries = slices.DeleteFunc(a.entries, func(c *claim) bool {
		expired := now.Sub(c.at) > claimLifetime
		if expired {
			delete(a.claims, c.from)
		}
		return expired
	})
}

// sortEntries orders the entries by weighted rendezvous hashing, so that a change
// of one entry's demand moves few others.
func (a *Allotter) sortEntries() {
	slices.SortFunc(a.entries, func(x, y *claim) int { return cmp.Compare(y.hash/y.weight, x.hash/x.weight) })
}

// weight returns the entry's weight for the selection, in steps of a factor of
// two, so that small changes of the demand select no others.
func (c *Claim) weight() float64 {
	w := math.Exp2(math.Round(math.Log2(max(c.Demand, leastDemand))))
	if c.Home {
		w *= homeWeight
	}
	return w
}

func (a *Allotter) hash(from netip.AddrPort) float64 {
	h := xxhash.New()
	_, _ = h.WriteString(a.Target)
	_, _ = h.WriteString(from.String())
	return math.Log((float64(h.Sum64()>>11) + 0.5) / (1 << 53))
}

// Allot renews the shares of all entries and counts them as used. The sum of all
// shares in use is at most 1. It reports false if shares that an earlier process
// allotted may still be in use, so that there are none yet.
func (a *Allotter) Allot(now time.Time) bool {
	if a.began.IsZero() || now.Sub(a.began) < claimLifetime {
		return false
	}
	a.expire(now)
	sharers := min(len(a.entries), a.MaxSharers)
	demand, used := 0.0, 0.0
	for i, c := range a.entries {
		used += c.used
		if i < sharers {
			demand += c.Demand
		}
	}
	for i, c := range a.entries {
		c.allotted = 0
		if i < sharers {
			c.allotted = roundDown(max(min(c.wanted(sharers, demand), 1-(used-c.used)), 0))
		}
		used += max(c.allotted-c.used, 0)
		c.used = max(c.used, c.allotted)
	}
	a.sharers = sharers
	return true
}

// roundDown returns the next smaller single-precision number, which is what claims
// and reports carry. An entry that confirmed a greater number than it was allotted
// would seem to use more.
func roundDown(part float64) float64 {
	out := float32(part)
	if float64(out) > part {
		out = math.Nextafter32(out, 0)
	}
	return float64(out)
}

// wanted returns the share that a selected entry gets if it is free.
func (c *claim) wanted(sharers int, demand float64) float64 {
	if demand <= 0 {
		return 1 / float64(sharers)
	}
	return equalPart/float64(sharers) + (1-equalPart)*c.Demand/demand
}

// Of returns the share that an entry was allotted.
func (a *Allotter) Of(from netip.AddrPort) Share {
	if c := a.claims[from]; c != nil && a.sharers > 0 {
		return Share{Part: c.allotted, Sharers: a.sharers}
	}
	return Share{}
}

// Deal divides n free places among the entries by their shares and returns how
// many each gets. Over time each gets its share exactly: of two entries the one
// that got less than its share comes first.
func (a *Allotter) Deal(n int) map[netip.AddrPort]int {
	out := map[netip.AddrPort]int{}
	for range n {
		var next *claim
		total := 0.0
		for _, c := range a.entries {
			total += c.allotted
			c.balance += c.allotted
			if c.allotted > 0 && (next == nil || c.balance > next.balance) {
				next = c
			}
		}
		if next == nil {
			break
		}
		next.balance -= total
		out[next.from]++
	}
	return out
}
