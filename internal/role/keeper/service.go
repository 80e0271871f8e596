package keeper

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"egretproxy/internal/agreement/record"
	"egretproxy/internal/agreement/replica"
	"egretproxy/internal/control/lease"
	"egretproxy/internal/control/ledger"
	"egretproxy/internal/control/view"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/wire/api"
	"egretproxy/internal/wire/rpc"
)

const (
	// forwardTimeout limits a call that is forwarded to the leader.
	forwardTimeout = 1 * time.Second
	// submitTimeout limits the wait until a change is applied.
	submitTimeout = 1200 * time.Millisecond
	joinInterval  = 500 * time.Millisecond
)

func (k *Keeper) handlers() map[string]rpc.Handler {
	return map[string]rpc.Handler{
		api.MethodSubmit:  k.handleSubmit,
		api.MethodRenew:   k.handleRenew,
		api.MethodConfirm: k.handleConfirm,
		api.MethodPeers:   k.handlePeers,
		api.MethodStatus:  k.handleStatus,
		api.MethodJoin:    k.handleJoin,
		api.MethodRaft:    k.handleRaft,
	}
}

func (k *Keeper) handleRaft(_ context.Context, params json.RawMessage) (any, error) {
	var m record.Message
	if err := json.Unmarshal(params, &m); err != nil {
		return nil, rpc.InvalidParams(err)
	}
	k.replica.Deliver(m)
	return nil, nil
}

func (k *Keeper) handleSubmit(ctx context.Context, params json.RawMessage) (any, error) {
	var in api.SubmitRequest
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, rpc.InvalidParams(err)
	}
	if !ledger.Known(in.Change.Name) {
		return ledger.Answer{Code: ledger.CodeInvalid, Text: "unknown change " + in.Change.Name}, nil
	}
	if !k.replica.Status().IsLeader && !in.Forwarded {
		in.Forwarded = true
		var out ledger.Answer
		err := k.callLeader(ctx, api.MethodSubmit, in, &out)
		return out, err
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	return k.submit(ctx, in.Change)
}

// submit sets the log time of a change, appends it to the log and returns the
// answer after it is applied.
func (k *Keeper) submit(ctx context.Context, e ledger.Envelope) (ledger.Answer, error) {
	e.Stamp = k.logTime()
	data, err := ledger.Marshal(e)
	if err != nil {
		return ledger.Answer{}, err
	}
	answer, err := k.replica.Propose(ctx, data)
	if err != nil {
		return ledger.Answer{}, toRPC(err)
	}
	return decodeAnswer(answer)
}

func (k *Keeper) handleRenew(ctx context.Context, params json.RawMessage) (any, error) {
	var in api.RenewRequest
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, rpc.InvalidParams(err)
	}
	index, err := k.renewals.confirm(ctx, in.Subscriber)
	if err != nil {
		return nil, err
	}
	waitCtx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	if err := k.replica.WaitApplied(waitCtx, index); err != nil {
		return nil, rpc.NewError(rpc.CodeUnavailable, "this keeper has not applied the confirmed log index in time")
	}
	return k.renewResponse(in.Subscriber), nil
}

// renewResponse returns the reply to a confirmed renewal.
func (k *Keeper) renewResponse(s api.Subscriber) api.RenewResponse {
	k.mu.Lock()
	defer k.mu.Unlock()
	v := k.ledger.View()
	if s.Target == "" {
		return api.RenewResponse{Delta: v.Since(s.Have, "")}
	}
	t, ok := v.Targets[s.Target]
	return api.RenewResponse{
		Delta:    v.Since(s.Have, s.Target),
		Unknown:  !ok || t.Session < s.Session,
		Replaced: ok && t.Session > s.Session,
	}
}

// confirmBatch confirms a batch of renewals with the leader. It returns the log
// index that a keeper must have applied before it answers the renewals.
func (k *Keeper) confirmBatch(ctx context.Context, batch []api.Subscriber) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	if !k.replica.Status().IsLeader {
		var out api.ConfirmResponse
		err := k.callLeader(ctx, api.MethodConfirm, api.ConfirmRequest{Subscribers: batch}, &out)
		return out.Index, err
	}
	index, err := k.replica.ReadIndex(ctx)
	if err != nil {
		return 0, toRPC(err)
	}
	k.subscribers.Record(batch)
	return index, nil
}

func (k *Keeper) handleConfirm(ctx context.Context, params json.RawMessage) (any, error) {
	var in api.ConfirmRequest
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, rpc.InvalidParams(err)
	}
	if !k.replica.Status().IsLeader {
		return nil, rpc.NewError(rpc.CodeNotLeader, replica.ErrNotLeader.Error())
	}
	index, err := k.confirmBatch(ctx, in.Subscribers)
	return api.ConfirmResponse{Index: index}, err
}

func (k *Keeper) handlePeers(_ context.Context, params json.RawMessage) (any, error) {
	var in api.PeersRequest
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, rpc.InvalidParams(err)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	var out api.PeersResponse
	for _, t := range k.ledger.View().Targets {
		holds := t.Staged.Manifest == in.Manifest || t.Installed.Manifest == in.Manifest
		if t.ID == in.Target || !holds {
			continue
		}
		out.Peers = append(out.Peers, api.Peer{
			Target: t.ID, Domain: t.Domain, Region: t.Region, Address: t.Address,
		})
	}
	return out, nil
}

func (k *Keeper) handleStatus(ctx context.Context, params json.RawMessage) (any, error) {
	if !k.replica.Status().IsLeader {
		if string(params) == forwardedParam {
			return nil, rpc.NewError(rpc.CodeNotLeader, replica.ErrNotLeader.Error())
		}
		var out api.StatusResponse
		err := k.callLeader(ctx, api.MethodStatus, json.RawMessage(forwardedParam), &out)
		return out, err
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	index, err := k.replica.ReadIndex(ctx)
	if err != nil {
		return nil, toRPC(err)
	}
	if err := k.replica.WaitApplied(ctx, index); err != nil {
		return nil, toRPC(err)
	}
	return k.status(), nil
}

// forwardedParam is the parameter of a status call that was already forwarded.
const forwardedParam = `"Forwarded"`

func (k *Keeper) status() api.StatusResponse {
	s := k.replica.Status()
	k.mu.Lock()
	v := copyView(k.ledger.View())
	claims := k.ledger.Claims()
	k.mu.Unlock()
	return api.StatusResponse{
		View: v, Leader: string(s.Leader), Members: s.Membership.Members,
		Subscribers: k.subscribers.List(), Claims: claims,
		LeaseMilliseconds: lease.Duration.Milliseconds(),
	}
}

func (k *Keeper) handleJoin(ctx context.Context, params json.RawMessage) (any, error) {
	var in api.JoinRequest
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, rpc.InvalidParams(err)
	}
	if !k.replica.Status().IsLeader {
		return nil, rpc.NewError(rpc.CodeNotLeader, replica.ErrNotLeader.Error())
	}
	if in.Member.ID == "" || in.Member.Name == "" || in.Member.Address == "" {
		return nil, rpc.NewError(rpc.CodeUnavailable, "join request needs a member ID, a name and an address")
	}
	in.Member.Voter = false
	k.mu.Lock()
	k.joiners[in.Member.Address] = in.Member
	k.mu.Unlock()
	return api.JoinResponse{Members: k.replica.Status().Membership.Members}, ctx.Err()
}

// callLeader forwards a call to the known leader. It returns CodeNotLeader if the
// call was certainly not sent, and CodeUncertain if its outcome is unknown. Errors
// with a code from the leader are returned as they are.
func (k *Keeper) callLeader(ctx context.Context, method string, params, result any) error {
	s := k.replica.Status()
	m, ok := s.Membership.Find(s.Leader)
	if !ok || s.Leader == s.ID {
		return rpc.NewError(rpc.CodeNotLeader, "no leader is known")
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	err := k.client(m.Address).Call(ctx, method, params, result)
	if err == nil {
		return nil
	}
	if code := rpc.ErrorCode(err); code != 0 {
		return err
	}
	if errors.Is(err, rpc.ErrNotSent) {
		return rpc.NewError(rpc.CodeNotLeader, err.Error())
	}
	return rpc.NewError(rpc.CodeOutcomeUnknown, err.Error())
}

// client returns the RPC client for the keeper at the address and creates it on
// first use.
func (k *Keeper) client(address string) *rpc.Client {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.clients[address]
	if c == nil {
		c = &rpc.Client{
			Address: address, TLS: k.identity.Client(), DialTimeout: forwardTimeout,
		}
		k.clients[address] = c
	}
	return c
}

// toRPC converts an error of the replica into an RPC error with its code.
func toRPC(err error) error {
	switch {
	case errors.Is(err, replica.ErrNotLeader):
		return rpc.NewError(rpc.CodeNotLeader, err.Error())
	case errors.Is(err, replica.ErrOutcomeUnknown), errors.Is(err, replica.ErrStopped):
		return rpc.NewError(rpc.CodeOutcomeUnknown, err.Error())
	default:
		return rpc.NewError(rpc.CodeUnavailable, err.Error())
	}
}

func encodeAnswer(a ledger.Answer) []byte {
	data, err := cbor.Marshal(a)
	if err != nil {
		panic("keeper: encode answer: " + err.Error())
	}
	return data
}

func decodeAnswer(data []byte) (ledger.Answer, error) {
	var a ledger.Answer
	if err := cbor.Unmarshal(data, &a); err != nil {
		return a, errors.Wrap(err, "decode answer")
	}
	return a, nil
}

// copyView returns a copy of a view without Recent. It copies the maps but not
// their values, which are never modified in place.
func copyView(v *view.View) view.View {
	out := *v
	out.Recent = nil
	out.Bundles = maps.Clone(v.Bundles)
	out.Domains = maps.Clone(v.Domains)
	out.Targets = make(map[id.Target]view.Target, len(v.Targets))
	maps.Copy(out.Targets, v.Targets)
	return out
}
