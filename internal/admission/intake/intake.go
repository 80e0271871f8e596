// Package intake bounds what a process holds for requests while callers send them:
// the bytes of long ones, and connections.
package intake

import (
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// freeBytes is the size up to which a request does not count. Nearly all are
	// shorter, and the others can't keep them out.
	freeBytes = 8 << 10
	// stepBytes is the least that counts as progress of a long request.
	stepBytes = 16 << 10
	// stallTime is how long a long request may be without progress, or a
	// connection without a whole request, before others may take its place.
	stallTime = time.Second
	// awaitInterval is the interval between questions for room.
	awaitInterval = 20 * time.Millisecond
)

// Errors of a request that is not taken.
var (
	// ErrFull means that the process has no room for a long request.
	ErrFull = errors.New("too many long requests arrive at this time")
	// ErrStalled means that a long request came too slowly while others needed its
	// room.
	ErrStalled = errors.New("request came too slowly")
)

// Reasons that are reported to Intake.OnRefuse.
const (
	reasonFull    = "NoRoom"
	reasonStalled = "Stalled"
	reasonConns   = "ConnectionLimit"
	reasonUnread  = "Unread"
)

// Intake is the room that a process has for requests. It is safe for concurrent
// use. Its exported fields must be set before it is used.
type Intake struct {
	// Bytes limits the sum of the long requests. One alone may be longer.
	Bytes int64
	// Conns limits the open connections.
	Conns int
	// BufferBytes is the receive buffer of a connection, which limits what arrives and
	// waits to be read. 0 leaves it to the system.
	BufferBytes int
	// Backlog limits the connections that wait at a listener to be accepted. 0 leaves
	// it to the system.
	Backlog int
	// WideBuffers limits the connections with WideBufferBytes in place of BufferBytes.
	WideBuffers int
	// Document limits one call of another process, and what one document or call takes
	// once it is decoded. It is for those who decode them. 0 means that there is no
	// limit.
	Document int64
	// Outgoing is how many connections to targets the descriptors allow beside Conns.
	// It is for those who open them.
	Outgoing int
	// OnRefuse is called with the reason when a request or a connection is given
	// up. It may be nil, must not block, and must not call the intake.
	OnRefuse func(reason string)

	mu sync.Mutex
	// used is the sum of the counted bytes of all claims.
	used int64
	// claims holds those with counted bytes.
	claims map[*Claim]struct{}
	conns  map[Conn]struct{}
	// wide are those of conns with WideBufferBytes.
	wide map[Conn]struct{}
}

// Claim is the room that one request takes. Create one with Intake.Claim. The mutex
// of the intake guards its fields.
type Claim struct {
	intake *Intake
	// interrupt ends the read that waits for more of the request.
	interrupt func()
	// bytes have arrived, of which counted are part of the intake's sum.
	bytes, counted int64
	// stepAt is when the request last made progress, at stepAtBytes.
	stepAt      time.Time
	stepAtBytes int64
	// whole is set once the request has arrived.
	whole bool
	// stalled is set once the request was given up.
	stalled bool
}

// Claim returns a claim for a request of which nothing has arrived. interrupt is
// called in a goroutine of its own, if another request needs the room.
func (in *Intake) Claim(interrupt func()) *Claim {
	return &Claim{intake: in, interrupt: interrupt, stepAt: time.Now()}
}

// Add adds bytes that have arrived. After an error they must be dropped and the
// request refused; it has not run then.
func (c *Claim) Add(n int) error {
	in := c.intake
	in.mu.Lock()
	defer in.mu.Unlock()
	err := c.add(n)
	if errors.Is(err, ErrFull) {
		in.refused(reasonFull)
	}
	return err
}

// Await is like Add for bytes that have not been read yet, but waits up to limit for
// room.
func (c *Claim) Await(n int, limit time.Duration) error {
	for end := time.Now().Add(limit); ; time.Sleep(awaitInterval) {
		c.intake.mu.Lock()
		err := c.add(n)
		c.intake.mu.Unlock()
		if !errors.Is(err, ErrFull) || time.Now().Add(awaitInterval).After(end) {
			return err
		}
	}
}

// Bytes returns how much of the request has been added.
func (c *Claim) Bytes() int64 {
	c.intake.mu.Lock()
	defer c.intake.mu.Unlock()
	return c.bytes
}

// add requires mu.
func (c *Claim) add(n int) error {
	in := c.intake
	if c.stalled {
		return ErrStalled
	}
	now := time.Now()
	bytes := c.bytes + int64(n)
	more := max(bytes-freeBytes-c.counted, 0)
	if others := in.used - c.counted; more > 0 && others > 0 && in.used+more > in.Bytes {
		in.interruptStalled(c, now, in.used+more-in.Bytes)
		return ErrFull
	}
	c.bytes = bytes
	if c.bytes-c.stepAtBytes >= stepBytes {
		c.stepAt, c.stepAtBytes = now, c.bytes
	}
	if more == 0 {
		return nil
	}
	if in.claims == nil {
		in.claims = map[*Claim]struct{}{}
	}
	in.claims[c] = struct{}{}
	in.used += more
	c.counted += more
	return nil
}

// Whole records that the whole request has arrived. It is never given up then.
func (c *Claim) Whole() {
	c.intake.mu.Lock()
	defer c.intake.mu.Unlock()
	c.whole = true
}

// Stalled reports whether the request was given up because others needed its room.
func (c *Claim) Stalled() bool {
	c.intake.mu.Lock()
	defer c.intake.mu.Unlock()
	return c.stalled
}

// Release returns the room. The request must not be held any more.
func (c *Claim) Release() {
	in := c.intake
	in.mu.Lock()
	defer in.mu.Unlock()
	if _, ok := in.claims[c]; !ok {
		return
	}
	delete(in.claims, c)
	in.used -= c.counted
}

// interruptStalled gives up the claims without progress, the longest first, until
// they hold need bytes. Their room is free once they are released. It requires mu.
func (in *Intake) interruptStalled(except *Claim, now time.Time, need int64) {
	for need > 0 {
		var longest *Claim
		for c := range in.claims {
			if c == except || c.whole || c.stalled || now.Sub(c.stepAt) < stallTime {
				continue
			}
			if longest == nil || c.stepAt.Before(longest.stepAt) {
				longest = c
			}
		}
		if longest == nil {
			return
		}
		longest.stalled = true
		need -= longest.counted
		in.refused(reasonStalled)
		go longest.interrupt()
	}
}

// refused requires mu.
func (in *Intake) refused(reason string) {
	if in.OnRefuse != nil {
		in.OnRefuse(reason)
	}
}

// Unread records a response that was cut because its caller did not read it in time.
func (in *Intake) Unread() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.refused(reasonUnread)
}

// Used returns the sum of the long requests in bytes and the number of open
// connections.
func (in *Intake) Used() (bytes int64, conns int) {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.used, len(in.conns)
}
