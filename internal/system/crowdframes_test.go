package system_test

import (
	"testing"

	"egretproxy/internal/standin/crowdkind"
)

func TestCrowdFramesAtServiceKeeper(t *testing.T) {
	f := newCrowdFleet(t)
	f.endureKinds("keeper-0", f.keepers[0], crowdkind.Frames(), func() bool {
		_, err := f.status()
		return err == nil && f.postShort()
	})
}
