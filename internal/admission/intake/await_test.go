package intake

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// TestLongCallWaitsForRoom has a call that comes while one without progress and then
// one that ends hold the room.
func TestLongCallWaitsForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := &Intake{Bytes: room}
		still := in.Claim(nil)
		still.interrupt = func() { still.Release() }
		mustAdd(t, still, room)
		time.Sleep(stallTime)
		next := in.Claim(nil)
		if err := next.Await(room/2, stallTime); err != nil {
			t.Errorf("a call beside one without progress: %v", err)
		}
		next.Whole()
		go func() { time.Sleep(stallTime); next.Release() }()
		if err := in.Claim(nil).Await(room, 2*stallTime); err != nil {
			t.Errorf("a call behind one that ends: %v", err)
		}
		if err := in.Claim(nil).Await(room, stallTime/2); !errors.Is(err, ErrFull) {
			t.Errorf("a call behind one in progress: %v, want ErrFull", err)
		}
	})
}
