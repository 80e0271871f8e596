package sitestate

import (
	"fmt"
	"testing"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/site/quarantine"
)

func requestDigest(n int) id.PromptPart { return id.PromptPart(fmt.Sprintf("request:%d", n)) }

// TestHoldsRequestVerdictsAreBoundedApart guards against requests in numbers that push
// out the verdicts on parts of prompts, and the other way round.
func TestHoldsRequestVerdictsAreBoundedApart(t *testing.T) {
	var m Machine
	index := uint64(0)
	apply := func(c QuarantineChange) {
		index++
		applyQuarantine(t, &m, index, c)
	}
	apply(verdictOn("part"))
	for n := range 2 * maxRequestVerdicts {
		apply(verdictOn(requestDigest(n)))
	}
	s := m.State()
	if len(s.Quarantine) != maxRequestVerdicts+1 || s.Quarantine[0].Parts[0] != "part" || s.Quarantine[1].Parts[0] != requestDigest(maxRequestVerdicts) {
		t.Errorf("%d verdicts, the first on %v and %v", len(s.Quarantine), s.Quarantine[0].Parts, s.Quarantine[1].Parts)
	}
	for n := range 2 * maxVerdicts {
		apply(verdictOn(id.PromptPart(fmt.Sprint(n))))
	}
	s = m.State()
	if len(s.Quarantine) != maxRequestVerdicts+maxVerdicts || s.Quarantine[0].Parts[0] != requestDigest(maxRequestVerdicts) {
		t.Errorf("%d verdicts, the first on %v", len(s.Quarantine), s.Quarantine[0].Parts)
	}
}

// TestRequestVerdictsExpire checks that a verdict on a request that did not come for a
// day is dropped when a further one is added, and no other.
func TestRequestVerdictsExpire(t *testing.T) {
	var m Machine
	day := quarantine.RequestLifetime.Milliseconds()
	for i, v := range []quarantine.Verdict{
		{Parts: []id.PromptPart{"part"}, ChangedMs: 1},
		{Parts: []id.PromptPart{requestDigest(1)}, ChangedMs: 1},
		{Parts: []id.PromptPart{requestDigest(2)}, ChangedMs: 2},
		{Parts: []id.PromptPart{requestDigest(3)}, ChangedMs: day + 2},
	} {
		applyQuarantine(t, &m, uint64(i+1), QuarantineChange{Verdict: &v})
	}
	got := ""
	for _, v := range m.State().Quarantine {
		got += v.Key()
	}
	if want := "part request:2 request:3 "; got != want {
		t.Errorf("got verdicts on %q, want %q", got, want)
	}
}
