package replica

import (
	"github.com/go-faster/errors"

	"egretproxy/internal/agreement/raft"
	"egretproxy/internal/agreement/record"
)

// process handles the pending work of the Raft node: it persists, then sends,
// then applies, until there is none left.
func (r *Replica) process() error {
	for r.node.HasReady() {
		ready := r.node.Ready()
		if err := r.persist(ready); err != nil {
			r.recordFailure(err)
			return err
		}
		r.node.Advance(ready)
		r.sendAll(ready.Messages)
		if err := r.apply(ready); err != nil {
			r.recordFailure(err)
			return err
		}
	}
	r.updateLeadership()
	return nil
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

func (r *Replica) apply(ready raft.Ready) error {
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
	return r.snapshotIfDue(applied)
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

func (r *Replica) snapshotIfDue(applied uint64) error {
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
	if err := r.journal.SaveSnapshot(s, false); err != nil {
		return err
	}
	r.snapshot = s
	r.node.Compact(applied)
	return nil
}
