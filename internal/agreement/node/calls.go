package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"egretproxy/internal/agreement/record"
	"egretproxy/internal/agreement/replica"
	"egretproxy/internal/wire/api"
	"egretproxy/internal/wire/rpc"
)

// Methods between seats, beside those of wire/api.
const (
	methodPropose = "seat.propose"
	methodConfirm = "seat.confirm"
	methodJoin    = "seat.join"
)

type proposeParams struct{ Command []byte }

type confirmReply struct{ Index uint64 }

type joinParams struct {
	Member  record.Member
	Durable bool
}

func (s *Node) handlers() map[string]rpc.Handler {
	out := map[string]rpc.Handler{
		api.MethodRaft: s.handleRaft,
		methodPropose:  s.handlePropose,
		methodConfirm:  s.handleConfirm,
		methodJoin:     s.handleJoin,
	}
	for name, h := range s.cfg.Handlers {
		out[name] = h
	}
	return out
}

// Propose makes a change and returns once a quorum has stored it. The same
// command may be appended twice if an answer is lost, so commands must be
// idempotent.
func (s *Node) Propose(ctx context.Context, command []byte) error {
	return s.callLeader(ctx, func(ctx context.Context, leader string) error {
		if leader == "" {
			_, err := s.member().Propose(ctx, command)
			return err
		}
		return s.client(leader).Call(ctx, methodPropose, proposeParams{Command: command}, nil)
	})
}

// Confirm returns once this member has applied every change that was
// acknowledged before the call.
func (s *Node) Confirm(ctx context.Context) error {
	var index uint64
	err := s.callLeader(ctx, func(ctx context.Context, leader string) error {
		if leader == "" {
			var err error
			index, err = s.member().ReadIndex(ctx)
			return err
		}
		var out confirmReply
		err := s.client(leader).Call(ctx, methodConfirm, struct{}{}, &out)
		index = out.Index
		return err
	})
	if err != nil {
		return err
	}
	return s.member().WaitApplied(ctx, index)
}

// callLeader runs the call here, for an empty address, or against the leader,
// and tries again until the context ends.
func (s *Node) callLeader(ctx context.Context, call func(ctx context.Context, leader string) error) error {
	err := error(replica.ErrNotLeader)
	for ctx.Err() == nil {
		// Before Run the status is empty, so the call waits for it.
		st := s.Status()
		m, known := st.Membership.Find(st.Leader)
		if st.IsLeader || known && st.Leader != st.ID {
			address := m.Address
			if st.IsLeader {
				address = ""
			}
			one, cancel := context.WithTimeout(ctx, forwardTimeout)
			err = call(one, address)
			cancel()
			if err == nil {
				return nil
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay):
		}
	}
	return errors.Wrap(err, "leader does not answer")
}

func (s *Node) handleRaft(_ context.Context, params json.RawMessage) (any, error) {
	var m record.Message
	if err := json.Unmarshal(params, &m); err != nil {
		return nil, rpc.InvalidParams(err)
	}
	s.replica.Deliver(m)
	return nil, nil
}

func (s *Node) handlePropose(ctx context.Context, params json.RawMessage) (any, error) {
	var in proposeParams
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, rpc.InvalidParams(err)
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	if _, err := s.replica.Propose(ctx, in.Command); err != nil {
		return nil, rpc.NewError(rpc.CodeNotLeader, err.Error())
	}
	return struct{}{}, nil
}

func (s *Node) handleConfirm(ctx context.Context, _ json.RawMessage) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	index, err := s.replica.ReadIndex(ctx)
	if err != nil {
		return nil, rpc.NewError(rpc.CodeNotLeader, err.Error())
	}
	return confirmReply{Index: index}, nil
}

func (s *Node) handleJoin(_ context.Context, params json.RawMessage) (any, error) {
	var in joinParams
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, rpc.InvalidParams(err)
	}
	if in.Member.ID == "" || in.Member.Name == "" || in.Member.Address == "" {
		return nil, rpc.NewError(rpc.CodeUnavailable, "a member needs an id, a name and an address")
	}
	in.Member.Voter = false
	s.mu.Lock()
	s.joiners[in.Member.Address] = joiner{Member: in.Member, durable: in.Durable, requestedAt: time.Now()}
	s.mu.Unlock()
	return api.JoinResponse{Members: s.replica.Status().Membership.Members}, nil
}
