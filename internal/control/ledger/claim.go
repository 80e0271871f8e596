package ledger

import (
	"bytes"

	"egretproxy/internal/fleet/id"
)

// ClaimState is the progress of a claimed request.
type ClaimState string

// States of a claim.
const (
	// ClaimHeld means that one attempt may run the request, or has run it but
	// its outcome is not recorded.
	ClaimHeld ClaimState = "Held"
	// ClaimSettled means that the request ran and its outcome is recorded.
	ClaimSettled ClaimState = "Settled"
	// ClaimReleased means that the attempt is known not to have run.
	ClaimReleased ClaimState = "Released"
)

// ClaimKey identifies a request that must run at most once.
type ClaimKey struct {
	Organisation id.Organisation
	// Key is the caller's idempotency key.
	Key string
}

// Outcome is the recorded response to a request that ran.
type Outcome struct {
	// Status is the HTTP status.
	Status      int
	ContentType string
	Body        []byte
	// Truncated reports that the body was too large to store.
	Truncated bool `cbor:",omitempty" json:",omitempty"`
}

// Claim is the exclusive permission of one attempt to run a request.
type Claim struct {
	ClaimKey
	// Attempt is unique across all attempts of all entries.
	Attempt id.Request
	// Digest is the digest of the request's method, path and body.
	Digest  []byte
	State   ClaimState
	Outcome *Outcome `cbor:",omitempty"`
	// Expires is the log time in milliseconds at which the claim is deleted.
	Expires int64
}

// ClaimAnswer is the result of a change to a claim. It states whether the
// attempt may run.
type ClaimAnswer struct {
	// Granted is true for exactly one attempt at a time.
	Granted bool
	State   ClaimState
	// DigestDiffers reports that the key was used for a different request.
	DigestDiffers bool     `cbor:",omitempty" json:",omitempty"`
	Outcome       *Outcome `cbor:",omitempty" json:",omitempty"`
}

// claims is the table of claims with their order of expiry.
type claims struct {
	byKey map[ClaimKey]*Claim
	// queue is sorted by Expires, since the log time never decreases and the
	// retention is constant. It may contain entries of replaced claims.
	queue []expiry
}

type expiry struct {
	key     ClaimKey
	expires int64
}

func (c *claims) init() {
	c.byKey = map[ClaimKey]*Claim{}
	c.queue = nil
}

func (c *claims) put(v Claim) {
	c.byKey[v.ClaimKey] = &v
	c.queue = append(c.queue, expiry{key: v.ClaimKey, expires: v.Expires})
}

func (c *claims) expire(now int64) {
	for len(c.queue) > 0 && c.queue[0].expires <= now {
		e := c.queue[0]
		c.queue = c.queue[1:]
		if v := c.byKey[e.key]; v != nil && v.Expires <= now {
			delete(c.byKey, e.key)
		}
	}
}

// list returns the claims in order of expiry.
func (c *claims) list() []Claim {
	out := make([]Claim, 0, len(c.byKey))
	for _, e := range c.queue {
		if v := c.byKey[e.key]; v != nil && v.Expires == e.expires {
			out = append(out, *v)
		}
	}
	return out
}

func init() {
	register("MakeClaim", func() Change { return &MakeClaim{} })
	register("SettleClaim", func() Change { return &SettleClaim{} })
	register("ReleaseClaim", func() Change { return &ReleaseClaim{} })
}

// MakeClaim requests the permission to run a request once.
type MakeClaim struct {
	ClaimKey
	Attempt id.Request
	Digest  []byte
}

// Apply grants the claim unless another attempt holds it or it is settled. A
// released claim is granted to a different attempt only.
func (m *MakeClaim) Apply(l *Ledger, _ Context) Answer {
	held := l.claims.byKey[m.ClaimKey]
	if held == nil || held.State == ClaimReleased && held.Attempt != m.Attempt {
		l.claims.put(Claim{
			ClaimKey: m.ClaimKey, Attempt: m.Attempt, Digest: m.Digest,
			State: ClaimHeld, Expires: l.now + DefaultClaimRetentionMilliseconds,
		})
		return Answer{Claim: &ClaimAnswer{Granted: true, State: ClaimHeld}}
	}
	answer := &ClaimAnswer{
		Granted:       held.State == ClaimHeld && held.Attempt == m.Attempt,
		State:         held.State,
		DigestDiffers: !bytes.Equal(held.Digest, m.Digest),
	}
	if !answer.DigestDiffers {
		answer.Outcome = held.Outcome
	}
	return Answer{Claim: answer}
}

// SettleClaim records the outcome of an attempt that ran.
type SettleClaim struct {
	ClaimKey
	Attempt id.Request
	Outcome Outcome
}

// Apply records the outcome if the attempt holds the claim.
func (s *SettleClaim) Apply(l *Ledger, _ Context) Answer {
	held := l.claims.byKey[s.ClaimKey]
	if held == nil || held.Attempt != s.Attempt || held.State != ClaimHeld {
		return refuse(CodeUnknown, "the attempt does not hold the claim")
	}
	out := s.Outcome
	held.State = ClaimSettled
	held.Outcome = &out
	return Answer{Claim: &ClaimAnswer{State: ClaimSettled}}
}

// ReleaseClaim releases the claim of an attempt that is known not to have run.
// A MakeClaim of the same attempt that arrives later is not granted.
type ReleaseClaim struct {
	ClaimKey
	Attempt id.Request
	Digest  []byte
}

// Apply releases the claim if this attempt or no attempt holds it.
func (r *ReleaseClaim) Apply(l *Ledger, _ Context) Answer {
	held := l.claims.byKey[r.ClaimKey]
	if held == nil {
		l.claims.put(Claim{
			ClaimKey: r.ClaimKey, Attempt: r.Attempt, Digest: r.Digest,
			State: ClaimReleased, Expires: l.now + DefaultClaimRetentionMilliseconds,
		})
		return Answer{Claim: &ClaimAnswer{State: ClaimReleased}}
	}
	if held.Attempt != r.Attempt || held.State != ClaimHeld {
		return refuse(CodeUnknown, "the attempt does not hold the claim")
	}
	held.State = ClaimReleased
	return Answer{Claim: &ClaimAnswer{State: ClaimReleased}}
}
