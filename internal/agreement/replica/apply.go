package replica

import (
	"context"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"egretproxy/internal/agreement/raft"
	"egretproxy/internal/agreement/record"
)

// process handles the pending work of the Raft node: it persists, then sends,
// then applies, until there is none left.
func (r *Replica) process(ctx context.Context) error {
	for r.node.HasReady() {
		ready := r.node.Ready()
		if err := r.retryStorage(ctx, func() error { return r.persist(ready) }); err != nil {
			r.recordFailure(err)
			return err
		}
		r.node.Advance(ready)
		r.sendAll(ready.Messages)
		if err := r.apply(ctx, ready); err != nil {
			r.recordFailure(err)
			return err
		}
	}
	r.updateLeadership()
	return nil
}

// retryStorage calls save until it succeeds. A disk that is full or fails for a while
// makes the member unresponsive, as a slow one does, and nothing that it has promised
// depends on what is not stored. It returns an error that is not the disk's, or
// that of the disk once ctx has ended.
func (r *Replica) retryStorage(ctx context.Context, save func() error) error {
	var began time.Time
	for {
		err := save()
		var errno syscall.Errno
		if err == nil || !errors.As(err, &errno) || ctx.Err() != nil {
			if err == nil && !began.IsZero() {
				klog.InfoS("Journal is written again", "Member", r.cfg.Raft.ID, "AfterMs", time.Since(began).Milliseconds())
			}
			return err
		}
		if began.IsZero() {
			began = time.Now()
			klog.ErrorS(err, "Journal can't be written, trying again", "Member", r.cfg.Raft.ID)
		}
		select {
		case <-ctx.Done():
		case <-time.After(storageRetryDelay):
		}
	}
}

func (r *Replica) persist(ready raft.Ready) error {
	if ready.Snapshot != nil {
		if err := r.journal.SaveSnapshot(ready.Snapshot, true); err != nil {
			return err
		}
		r.snapshot = ready.Snapshot
	}
	return r.journal.Save(ready.HardState, ready.Truncate, ready.Entries)
}

func (r *Replica) sendAll(messages []record.Message) {
	members := r.node.Membership()
	for _, m := range messages {
		m.Address = r.cfg.Address
		c, ok := members.Find(m.To)
		if !ok {
			c = record.Member{ID: m.To, Address: r.addresses[m.To]}
		}
		r.transport.Send(c, m)
	}
}

func (r *Replica) apply(ctx context.Context, ready raft.Ready) error {
	applied := r.appliedIndex()
	if ready.Snapshot != nil {
		// The bootstrap snapshot of a group holds no state.
		if len(ready.Snapshot.Data) > 0 {
			if err := r.stateMachine.Restore(ready.Snapshot.Data); err != nil {
				return errors.Wrap(err, "restore snapshot")
			}
		}
		applied = ready.Snapshot.Index
	}
	for _, e := range ready.Committed {
		r.applyOne(e)
		applied = e.Index
	}
	for _, s := range ready.Reads {
		request := r.pendingReads[s.Token]
		delete(r.pendingReads, s.Token)
		*request.index = s.Index
		request.done <- result{}
	}
	r.publishStatus(applied)
	return r.snapshotIfDue(ctx, applied)
}

func (r *Replica) applyOne(e record.Entry) {
	var response []byte
	if e.Kind == record.KindCommand {
		response = r.stateMachine.Apply(e.Index, e.Data)
	}
	p, ok := r.pendingProposals[e.Index]
	if !ok {
		return
	}
	delete(r.pendingProposals, e.Index)
	if p.term != e.Term {
		p.done <- result{err: ErrOutcomeUnknown}
		return
	}
	p.done <- result{response: response}
}

func (r *Replica) snapshotIfDue(ctx context.Context, applied uint64) error {
	from := uint64(0)
	if r.snapshot != nil {
		from = r.snapshot.Index
	}
	if applied < from+r.cfg.SnapshotEntries {
		return nil
	}
	data, err := r.stateMachine.Snapshot()
	if err != nil {
		return errors.Wrap(err, "take snapshot")
	}
	s := &record.Snapshot{
		Index: applied, Term: r.node.TermAt(applied),
		Membership: r.node.MembershipAt(applied), Data: data,
	}
	if err := r.retryStorage(ctx, func() error { return r.journal.SaveSnapshot(s, false) }); err != nil {
		return err
	}
	r.snapshot = s
	r.node.Compact(applied)
	return nil
}
