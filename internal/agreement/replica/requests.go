package replica

import (
	"context"

	"egretproxy/internal/agreement/record"
)

// Status returns the state after the last processed event.
func (r *Replica) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status
}

// Stopped returns a channel that is closed when Run has returned.
func (r *Replica) Stopped() <-chan struct{} { return r.stopped }

// Deliver queues a message from another member. It drops the message if the
// queue is full, which Raft tolerates.
func (r *Replica) Deliver(m record.Message) {
	r.syncing.respond(m)
	select {
	case r.inbox <- m:
	default:
	}
}

// Propose appends a command to the log and returns the state machine's response
// once the command is applied. It returns ErrNotLeader, ErrOutcomeUnknown or
// ErrStopped.
func (r *Replica) Propose(ctx context.Context, command []byte) ([]byte, error) {
	done := make(chan result, 1)
	select {
	case r.proposals <- proposal{command: command, done: done}:
	case <-r.stopped:
		return nil, ErrStopped
	case <-ctx.Done():
		return nil, ErrNotLeader
	}
	out, err := r.waitResult(ctx, done)
	return out.response, err
}

// ReadIndex returns a log index for a linearizable read: a state that has
// applied it reflects every change acknowledged before the call. It returns
// ErrNotLeader, ErrOutcomeUnknown or ErrStopped.
func (r *Replica) ReadIndex(ctx context.Context) (uint64, error) {
	var index uint64
	done := make(chan result, 1)
	select {
	case r.reads <- readRequest{done: done, index: &index}:
	case <-r.stopped:
		return 0, ErrStopped
	case <-ctx.Done():
		return 0, ErrNotLeader
	}
	if _, err := r.waitResult(ctx, done); err != nil {
		return 0, err
	}
	return index, nil
}

// WaitApplied returns nil once this member has applied the index. It returns
// ErrStopped or the error of ctx otherwise.
func (r *Replica) WaitApplied(ctx context.Context, index uint64) error {
	for {
		r.mu.Lock()
		applied, changed := r.status.Applied, r.appliedChanged.Next()
		r.mu.Unlock()
		if applied >= index {
			return nil
		}
		select {
		case <-changed:
		case <-r.stopped:
			return ErrStopped
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// ChangeMembership proposes a membership that differs from the current one in
// one member. It reports whether the change was appended to the log, which
// does not mean that it is committed.
func (r *Replica) ChangeMembership(ctx context.Context, m record.Membership) bool {
	c := membershipChange{membership: m, done: make(chan bool, 1)}
	select {
	case r.membershipChanges <- c:
	case <-r.stopped:
		return false
	case <-ctx.Done():
		return false
	}
	select {
	case ok := <-c.done:
		return ok
	case <-r.stopped:
		return false
	}
}

func (r *Replica) waitResult(ctx context.Context, done chan result) (result, error) {
	select {
	case out := <-done:
		return out, out.err
	case <-ctx.Done():
		return result{}, ErrOutcomeUnknown
	case <-r.stopped:
	}
	select {
	case out := <-done:
		return out, out.err
	default:
		return result{}, ErrOutcomeUnknown
	}
}
