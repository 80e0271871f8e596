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
// then applies, until there is none left. A leader's followers persist at the same time.
func (r *Replica) process(ctx context.Context) error {
	for r.node.HasReady() {
		ready := r.node.Ready()
		early, late := ready.SplitMessages()
		r.sendAll(early)
		if ready.MustSync() {
			took, err := r.save(ctx, ready, func() error { return r.persist(ready) })
			if err != nil {
				r.recordFailure(err)
				return err
			}
			r.node.SyncTook(int(took / r.cfg.Tick))
		}
		r.node.Advance(ready)
		r.sendAll(late)
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

// save calls write until it succeeds, and returns how long that took. Meanwhile the
// member takes part in heartbeats, as far as the work that write does not store yet
// allows.
func (r *Replica) save(ctx context.Context, ready raft.Ready, write func() error) (took time.Duration, err error) {
	r.syncing.begin(r.heartbeats(ready), r.heartbeatResponse(ready))
	defer r.syncing.end()
	began := time.Now()
	err = r.retryStorage(ctx, write)
	took = time.Since(began)
	r.logSyncTime(took)
	return took, err
}

// logSyncTime logs when syncs begin and cease to take longer than a heartbeat.
func (r *Replica) logSyncTime(took time.Duration) {
	slow := took >= syncHeartbeat
	if slow != r.slowSyncs {
		r.slowSyncs = slow
		klog.InfoS("Syncs of the journal changed", "Member", r.cfg.Raft.ID, "Slow", slow, "TookMs", took.Milliseconds())
	}
}

func (r *Replica) heartbeats(ready raft.Ready) []envelope {
	var out []envelope
	for _, m := range r.node.Heartbeats(ready) {
		out = append(out, r.address(m))
	}
	return out
}

func (r *Replica) heartbeatResponse(ready raft.Ready) *envelope {
	m, ok := r.node.HeartbeatResponse(ready)
	if !ok {
		return nil
	}
	e := r.address(m)
	return &e
}

func (r *Replica) sendAll(messages []record.Message) {
	for _, m := range messages {
		e := r.address(m)
		r.transport.Send(e.to, e.Message)
	}
}

// address adds the address of the member that a message is for, and that of this one.
func (r *Replica) address(m record.Message) envelope {
	m.Address = r.cfg.Address
	to, ok := r.node.Membership().Find(m.To)
	if !ok {
		to = record.Member{ID: m.To, Address: r.addresses[m.To]}
	}
	return envelope{to: to, Message: m}
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
	if _, err := r.save(ctx, raft.Ready{}, func() error { return r.journal.SaveSnapshot(s, false) }); err != nil {
		return err
	}
	r.snapshot = s
	r.node.Compact(applied)
	return nil
}
