package replica

import (
	"context"

	"egretproxy/internal/agreement/record"
)

// Status returns the state after the newest step.
func (r *Replica) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status
}

// Deliver hands in a message from another member. It drops the message if
// the queue is full, which the protocol bears.
func (r *Replica) Deliver(m record.Message) {
	select {
	case r.inbox <- m:
	default:
	}
}

// Propose appends a command and returns the machine's answer once it is
// applied.
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
	return out.answer, err
}

// ReadIndex returns a position such that a state that has applied it reflects
// every change acknowledged before the call.
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

// WaitApplied returns once the position is applied on this member.
func (r *Replica) WaitApplied(ctx context.Context, index uint64) error {
	for {
		r.mu.Lock()
		applied, changed := r.status.Applied, r.appliedChanged
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

// ChangeMembership proposes a membership that differs in one member. It
// reports whether the leader took it.
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
