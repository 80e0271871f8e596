package node

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/jsonrpc2"

	"egretproxy/internal/agreement/record"
	"egretproxy/internal/agreement/replica"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/wire/api"
	"egretproxy/internal/wire/rpc"
)

// RPC methods between nodes in addition to those of wire/api.
const (
	methodPropose = "seat.propose"
	methodConfirm = "seat.confirm"
	methodJoin    = "seat.join"
	methodLeave   = "seat.leave"
)

type proposeParams struct{ Command []byte }

// proposeResponse holds the response of the state machine. It is empty from keepers
// of versions that did not send it.
type proposeResponse struct{ Response []byte }

type confirmResponse struct{ Index uint64 }

type joinParams struct {
	Member  record.Member
	Durable bool
}

func (n *Node) handlers() map[string]rpc.Handler {
	out := map[string]rpc.Handler{
		api.MethodRaft: n.handleRaft,
		methodPropose:  n.handlePropose,
		methodConfirm:  n.handleConfirm,
		methodJoin:     n.handleJoin,
		methodLeave:    n.handleLeave,
	}
	for name, h := range n.cfg.Handlers {
		out[name] = h
	}
	return out
}

// Propose appends a command to the log and returns the state machine's response
// once a quorum has stored it. The command may be appended twice if a response is
// lost, so commands must be idempotent.
func (n *Node) Propose(ctx context.Context, command []byte) ([]byte, error) {
	var out proposeResponse
	err := n.callLeader(ctx, func(ctx context.Context, leader string) error {
		if leader == "" {
			var err error
			out.Response, err = n.currentReplica().Propose(ctx, command)
			return err
		}
		return n.client(leader).Call(ctx, methodPropose, proposeParams{Command: command}, &out)
	})
	return out.Response, err
}

// Confirm returns once this member has applied every command that was
// acknowledged before the call, or an error if the context ends first.
func (n *Node) Confirm(ctx context.Context) error {
	var index uint64
	err := n.callLeader(ctx, func(ctx context.Context, leader string) error {
		if leader == "" {
			var err error
			index, err = n.currentReplica().ReadIndex(ctx)
			return err
		}
		// A confirmation that is asked for again costs no sync.
		ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
		defer cancel()
		var out confirmResponse
		err := n.client(leader).Call(ctx, methodConfirm, struct{}{}, &out)
		index = out.Index
		return err
	})
	if err != nil {
		return err
	}
	return n.currentReplica().WaitApplied(ctx, index)
}

// CallOthers calls a method of the other members at once, and returns nil as soon as
// a quorum, this member included, has answered without an error. A member of a version
// that lacks the method counts as one that has answered.
func (n *Node) CallOthers(ctx context.Context, method string, params any) error {
	need := n.Status().Membership.Quorum() - 1
	calls, results := n.callOthers(ctx, method, params)
	var last error
	for ; need > 0 && calls > 0; calls-- {
		if r := <-results; r.err != nil && rpc.ErrorCode(r.err) != jsonrpc2.CodeMethodNotFound {
			last = r.err
			continue
		}
		need--
	}
	if need > 0 {
		return errors.Wrap(last, "no quorum answers")
	}
	return nil
}

// CallMember calls a method of the member at an address.
func (n *Node) CallMember(ctx context.Context, address, method string, params, result any) error {
	isMember := func(m record.Member) bool { return m.Address == address }
	if !slices.ContainsFunc(n.Status().Membership.Members, isMember) {
		return errors.Errorf("%q is no member", address)
	}
	return n.client(address).Call(ctx, method, params, result)
}

// AskOthers calls a method of the other members at once and returns the results of those
// that answer without an error in time, and whether all have. The other calls go on, since
// a call that is given up closes its connection.
func (n *Node) AskOthers(ctx context.Context, method string, params any, wait time.Duration) (answers []json.RawMessage, complete bool) {
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), max(wait, forwardTimeout))
	calls, results := n.callOthers(callCtx, method, params)
	answered := make(chan json.RawMessage, calls)
	go func() {
		defer cancel()
		defer close(answered)
		for range calls {
			if r := <-results; r.err == nil {
				answered <- r.data
			}
		}
	}()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case answer, ok := <-answered:
			if !ok {
				return answers, len(answers) == calls
			}
			answers = append(answers, answer)
		case <-timer.C:
			return answers, false
		case <-ctx.Done():
			return answers, false
		}
	}
}

// otherResult is the result of a call of another member.
type otherResult struct {
	data json.RawMessage
	err  error
}

// callOthers calls a method of the other members at once. It returns the number of
// results that follow.
func (n *Node) callOthers(ctx context.Context, method string, params any) (calls int, results <-chan otherResult) {
	members := n.Status().Membership.Members
	out := make(chan otherResult, len(members))
	for _, c := range members {
		if c.Address == n.cfg.Address {
			continue
		}
		calls++
		go func() {
			var r otherResult
			r.err = n.client(c.Address).Call(ctx, method, params, &r.data)
			out <- r
		}()
	}
	return calls, out
}

// callLeader runs the call for the leader's address, or for an empty address if
// this member leads. It retries until the call succeeds, the context ends or this
// member stops, as the caller can then try another keeper. A call goes on for as long as
// its leader leads: a proposal that is made again would only add to a slow disk's work.
func (n *Node) callLeader(ctx context.Context, call func(ctx context.Context, leader string) error) error {
	err := error(replica.ErrNotLeader)
	for ctx.Err() == nil {
		// The status is empty before Run, so the call waits for Run.
		st := n.Status()
		m, known := st.Membership.Find(st.Leader)
		if st.IsLeader || known && st.Leader != st.ID {
			address := m.Address
			if st.IsLeader {
				address = ""
			}
			callCtx, cancel := n.whileLeading(ctx, st.Leader)
			err = call(callCtx, address)
			cancel()
			if err == nil {
				return nil
			}
		}
		select {
		case <-ctx.Done():
		case <-n.stopping:
			return errors.Wrap(err, "keeper is stopping")
		case <-time.After(retryDelay):
		}
	}
	return errors.Wrap(err, "leader does not answer")
}

// whileLeading returns a context that ends once this member follows another leader or none.
func (n *Node) whileLeading(ctx context.Context, leader id.Keeper) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		ticker := time.NewTicker(tick)
		defer ticker.Stop()
		for n.Status().Leader == leader {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
		cancel()
	}()
	return ctx, cancel
}

func (n *Node) handleRaft(_ context.Context, params json.RawMessage) (any, error) {
	var m record.Message
	if err := json.Unmarshal(params, &m); err != nil {
		return nil, rpc.InvalidParams(err)
	}
	n.replica.Deliver(m)
	return nil, nil
}

func (n *Node) handlePropose(ctx context.Context, params json.RawMessage) (any, error) {
	var in proposeParams
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, rpc.InvalidParams(err)
	}
	response, err := n.replica.Propose(ctx, in.Command)
	if err != nil {
		return nil, rpc.NewError(rpc.CodeNotLeader, err.Error())
	}
	return proposeResponse{Response: response}, nil
}

func (n *Node) handleConfirm(ctx context.Context, _ json.RawMessage) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	index, err := n.replica.ReadIndex(ctx)
	if err != nil {
		return nil, rpc.NewError(rpc.CodeNotLeader, err.Error())
	}
	return confirmResponse{Index: index}, nil
}

func (n *Node) handleJoin(_ context.Context, params json.RawMessage) (any, error) {
	var in joinParams
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, rpc.InvalidParams(err)
	}
	if in.Member.ID == "" || in.Member.Name == "" || in.Member.Address == "" {
		return nil, rpc.NewError(rpc.CodeUnavailable, "a member needs an id, a name and an address")
	}
	in.Member.Voter = false
	n.mu.Lock()
	// A keeper that joins has restarted since it left.
	delete(n.leavers, in.Member.ID)
	n.joiners[in.Member.Address] = joiner{Member: in.Member, durable: in.Durable, requestedAt: time.Now()}
	n.mu.Unlock()
	return api.JoinResponse{Members: n.replica.Status().Membership.Members}, nil
}
