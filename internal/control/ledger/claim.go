package ledger

import (
	"bytes"

	"egretproxy/internal/fleet/id"
)

// ClaimState tells how far a claimed request has come.
type ClaimState string

// States of a claim.
const (
	// ClaimHeld means that one attempt may run the request, or has run it
	// without a recorded outcome.
	ClaimHeld ClaimState = "Held"
	// ClaimSettled means that the request ran and its outcome is recorded.
	ClaimSettled ClaimState = "Settled"
	// ClaimReleased means that the attempt certainly did not run.
	ClaimReleased ClaimState = "Released"
)

// ClaimKey names a request that may not be repeated.
type ClaimKey struct {
	Organisation id.Organisation
	// Key is the caller's idempotency key.
	Key string
}

// Outcome is the recorded answer to a request that ran.
type Outcome struct {
	// Status is the HTTP status.
	Status      int
	ContentType string
	Body        []byte
	// Truncated tells that the body was too large to keep.
	Truncated bool `cbor:",omitempty" json:",omitempty"`
}

// Claim is the right of one attempt to run a request.
type Claim struct {
	ClaimKey
	// Attempt is unique for each try of any entry.
	Attempt id.Request
	// Digest is the digest of method, path and body.
	Digest  []byte
	State   ClaimState
	Outcome *Outcome `cbor:",omitempty"`
	// Expires is the time of the log in milliseconds when it is forgotten.
	Expires int64
}

// ClaimAnswer tells an entry whether its attempt may run.
type ClaimAnswer struct {
	// Granted is true for exactly one attempt at a time.
	Granted bool
	State   ClaimState
	// DigestDiffers tells that the key was used for another request.
	DigestDiffers bool     `cbor:",omitempty" json:",omitempty"`
	Outcome       *Outcome `cbor:",omitempty" json:",omitempty"`
}

// claims is the table of claims and their order of expiry.
type claims struct {
	byKey map[ClaimKey]*Claim
	// queue is sorted by Expires, since the log's time never falls and the
	// retention is one constant. It may name claims that were replaced.
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

// MakeClaim asks for the right to run a request once.
type MakeClaim struct {
	ClaimKey
	Attempt id.Request
	Digest  []byte
}

// Apply grants the claim unless another attempt holds it.
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

// ReleaseClaim gives the claim back after the attempt certainly did not run.
// It also bars the attempt from a claim that is still on its way.
type ReleaseClaim struct {
	ClaimKey
	Attempt id.Request
	Digest  []byte
}

// Apply releases the claim if the attempt holds it or nobody does.
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
