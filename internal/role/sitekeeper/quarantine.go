package sitekeeper

import (
	"context"
	"encoding/json"
	"time"

	"k8s.io/klog/v2"

	"egretproxy/internal/kernel/clock"
	"egretproxy/internal/site/evidence"
	"egretproxy/internal/site/quarantine"
	"egretproxy/internal/site/sitestate"
	"egretproxy/internal/wire/rpc"
)

const (
	// judgeInterval is the time between looks at suspicions that wait for
	// objections.
	judgeInterval = 50 * time.Millisecond
	// reportsDelay combines the reports of several entries.
	reportsDelay = 15 * time.Millisecond
	// followerDelay is how long a keeper that does not lead leaves a verdict to
	// the leader, which has the same reports unless it is cut off.
	followerDelay = 150 * time.Millisecond
	// testSlack is how much earlier than by this keeper's clock entries may ask
	// for a test.
	testSlack = time.Second
)

// handleEvidence records what an entry saw. Parts and requests that responses showed to be
// harmless are removed from the verdicts. That a response began does not suffice, since
// its target may end with it.
func (k *Keeper) handleEvidence(ctx context.Context, params json.RawMessage) (any, error) {
	var in evidence.Report
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, rpc.InvalidParams(err)
	}
	accused := quarantine.Parts(k.Machine.State().Quarantine)
	k.judge.Add(in)
	for _, b := range in.Begun {
		if !b.Clears() || !accused[b.Part] {
			continue
		}
		klog.InfoS("Response clears a part of prompts or a request", "Part", b.Part, "AgeMs", b.AgeMs)
		change := sitestate.QuarantineChange{Harmless: b.Part}
		if err := k.Propose(ctx, sitestate.Command{Quarantine: &change}); err != nil {
			return nil, rpc.NewError(rpc.CodeUnavailable, err.Error())
		}
	}
	return nil, nil
}

// handleTest grants the next test of a verdict to one caller.
func (k *Keeper) handleTest(ctx context.Context, params json.RawMessage) (any, error) {
	var in evidence.Test
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, rpc.InvalidParams(err)
	}
	now, known := time.Now(), k.Machine.State()
	if !isTestDue(known.Quarantine, in, now) {
		return evidence.TestResponse{}, nil
	}
	change := sitestate.QuarantineChange{Test: &in, ChangedMs: now.UnixMilli(), After: &known.Index}
	if err := k.Propose(ctx, sitestate.Command{Quarantine: &change}); err != nil {
		return nil, rpc.NewError(rpc.CodeUnavailable, err.Error())
	}
	st, err := k.Confirmed(ctx)
	if err != nil {
		return nil, rpc.NewError(rpc.CodeUnavailable, err.Error())
	}
	i := quarantine.Index(st.Quarantine, in.Key)
	granted := i >= 0 && st.Quarantine[i].Tests == in.Number && st.Quarantine[i].Holder == in.Holder
	klog.InfoS("Test of a verdict was requested", "Verdict", in.Key, "Number", in.Number, "Holder", in.Holder, "Granted", granted)
	return evidence.TestResponse{Granted: granted}, nil
}

// isTestDue reports whether the test is the next one of a verdict and due by now.
func isTestDue(verdicts []quarantine.Verdict, t evidence.Test, now time.Time) bool {
	i := quarantine.Index(verdicts, t.Key)
	if i < 0 || t.Number != verdicts[i].Tests+1 {
		return false
	}
	v := &verdicts[i]
	return now.Sub(time.UnixMilli(v.ChangedMs)) >= v.TestInterval()-testSlack
}

// handleQuarantine lists the verdicts, after lifting some if the caller asks for
// it.
func (k *Keeper) handleQuarantine(ctx context.Context, params json.RawMessage) (any, error) {
	var in evidence.QuarantineRequest
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, rpc.InvalidParams(err)
	}
	if in.Lift != "" {
		klog.InfoS("Verdicts are lifted by an operator", "Part", in.Lift)
		change := sitestate.QuarantineChange{Lift: in.Lift}
		if err := k.Propose(ctx, sitestate.Command{Quarantine: &change}); err != nil {
			return nil, rpc.NewError(rpc.CodeUnavailable, err.Error())
		}
	}
	st, err := k.Confirmed(ctx)
	if err != nil {
		return nil, rpc.NewError(rpc.CodeUnavailable, err.Error())
	}
	return st.Quarantine, nil
}

// judgeLoop submits the verdicts that the reports justify.
func (k *Keeper) judgeLoop(ctx context.Context) {
	// dueSince is when this keeper first saw the verdict that is due.
	var dueSince time.Time
	for ctx.Err() == nil {
		reported, stateChanged := k.judge.Reported(), k.Machine.Changed()
		known := k.Machine.State()
		v, pending := k.judge.Verdict(known.Quarantine)
		if v == nil {
			dueSince = time.Time{}
		} else {
			if dueSince.IsZero() {
				dueSince = time.Now()
			}
			k.submit(ctx, v, known.Index, dueSince)
		}
		var wait <-chan time.Time
		if pending {
			wait = time.After(judgeInterval)
		}
		select {
		case <-ctx.Done():
		case <-reported:
			// Entries see the same end at about the same time.
			clock.Sleep(ctx, reportsDelay)
		case <-stateChanged:
		case <-wait:
		}
	}
}

// submit proposes a verdict that was found by the state at a position, unless that is
// left to the leader for now.
func (k *Keeper) submit(ctx context.Context, v *quarantine.Verdict, position uint64, dueSince time.Time) {
	if !k.raftNode.Status().IsLeader && time.Since(dueSince) < followerDelay {
		return
	}
	klog.InfoS("Parts of prompts or a request are shut out", "Parts", v.Parts, "Ends", v.Ends)
	k.metrics.Count("PartsShutOut")
	change := sitestate.QuarantineChange{Verdict: v, After: &position}
	if err := k.Propose(ctx, sitestate.Command{Quarantine: &change}); err != nil {
		klog.InfoS("Failed to shut out parts of prompts or a request", "Parts", v.Parts, "Error", err.Error())
	}
}
