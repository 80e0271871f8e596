package system_test

import (
	"testing"

	"egretproxy/internal/standin/crowd"
)

const (
	frameCallers = 20
	// longFrame is just within the limit of the codec.
	longFrame = 60 * mib
)

// frameKinds are crowds that send frames to a listener for calls between processes.
func frameKinds() []crowdKind {
	return []crowdKind{
		{"long", frameCallers, crowd.Request{FrameBytes: longFrame}},
		{"in pieces", fewCallers, crowd.Request{FrameBytes: longestBody, Piecewise: true}},
		{"short", manyCallers, crowd.Request{FrameBytes: longestHead}},
		{"over the limit", endlessCallers, crowd.Request{FrameBytes: endlessBody + mib}},
	}
}

func TestCrowdFramesAtServiceKeeper(t *testing.T) {
	f := newCrowdFleet(t)
	f.endureKinds("keeper-0", f.keepers[0], frameKinds(), func() bool {
		_, err := f.status()
		return err == nil && f.postShort()
	})
}
