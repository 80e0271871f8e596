package intake

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

const room = 1 << 20

func mustAdd(t *testing.T, c *Claim, n int) {
	t.Helper()
	if err := c.Add(n); err != nil {
		t.Fatal(err)
	}
}

func TestLongRequestsShareTheRoom(t *testing.T) {
	in := &Intake{Bytes: room}
	first, second := in.Claim(nil), in.Claim(nil)
	mustAdd(t, first, room/2)
	if err := second.Add(room); !errors.Is(err, ErrFull) {
		t.Errorf("a request over the room: %v, want ErrFull", err)
	}
	first.Release()
	second = in.Claim(nil)
	mustAdd(t, second, 2*room)
	if err := in.Claim(nil).Add(2 * freeBytes); !errors.Is(err, ErrFull) {
		t.Errorf("a request beside the longest: %v, want ErrFull", err)
	}
	second.Release()
	second.Release()
	if bytes, _ := in.Used(); bytes != 0 {
		t.Errorf("%d bytes are counted without a request", bytes)
	}
}

func TestShortRequestsAreAlwaysTaken(t *testing.T) {
	in := &Intake{Bytes: room}
	mustAdd(t, in.Claim(nil), 2*room)
	for range 100 {
		mustAdd(t, in.Claim(nil), freeBytes)
	}
}

// TestStalledRequestsGiveWay has one claim that grows in steps, one that grows by
// less, one without progress and one that has arrived.
func TestStalledRequestsGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var refused []string
		in := &Intake{Bytes: room, OnRefuse: func(reason string) { refused = append(refused, reason) }}
		claims := map[string]*Claim{}
		var interrupted []string
		for _, name := range []string{"whole", "still", "drip", "steady"} {
			claims[name] = in.Claim(func() { interrupted = append(interrupted, name) })
			mustAdd(t, claims[name], room/5)
			time.Sleep(time.Millisecond)
		}
		claims["whole"].Whole()
		for range 10 {
			time.Sleep(stallTime / 10)
			mustAdd(t, claims["drip"], 1)
			mustAdd(t, claims["steady"], stepBytes)
		}
		late := in.Claim(nil)
		for range 3 {
			if err := late.Add(room / 4); !errors.Is(err, ErrFull) {
				t.Errorf("a request over the room: %v, want ErrFull", err)
			}
			synctest.Wait()
		}
		if diff := cmp.Diff([]string{"still", "drip"}, interrupted); diff != "" {
			t.Errorf("requests that gave way (-want +got):\n%s", diff)
		}
		if err := claims["still"].Add(1); !errors.Is(err, ErrStalled) {
			t.Errorf("more of a request that gave way: %v, want ErrStalled", err)
		}
		claims["still"].Release()
		mustAdd(t, in.Claim(nil), room/5)
		want := []string{reasonStalled, reasonFull, reasonStalled, reasonFull, reasonFull}
		if diff := cmp.Diff(want, refused); diff != "" {
			t.Errorf("reasons (-want +got):\n%s", diff)
		}
	})
}

// fakeConn is a connection that is what the test says.
type fakeConn struct {
	use     Use
	since   time.Time
	dropped bool
}

func (c *fakeConn) Use() (Use, time.Time) { return c.use, c.since }
func (c *fakeConn) Drop()                 { c.dropped = true }

func TestLeastUsedConnectionGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		ago := func(d time.Duration) time.Time { return now.Add(-d) }
		serving := &fakeConn{use: Serving, since: ago(time.Hour)}
		idle := &fakeConn{use: Idle, since: ago(time.Minute)}
		young := &fakeConn{use: Receiving, since: ago(time.Millisecond)}
		expired := &fakeConn{use: Expired, since: ago(time.Minute)}
		slow := &fakeConn{use: Receiving, since: ago(stallTime)}
		slower := &fakeConn{use: Receiving, since: ago(2 * stallTime)}
		reading := &fakeConn{use: Unread, since: ago(stallTime / 2)}
		deaf := &fakeConn{use: Unread, since: ago(stallTime)}
		all := []*fakeConn{serving, reading, idle, young, expired, slow, deaf, slower}
		in := &Intake{Conns: len(all)}
		for _, c := range all {
			in.Open(c)
		}
		for i, want := range []*fakeConn{slower, slow, expired, deaf, young, idle} {
			if !in.Open(&fakeConn{use: Serving}) || !want.dropped {
				t.Errorf("connection %d over the limit did not replace the one with the least use", i)
			}
		}
		if in.Open(&fakeConn{use: Receiving}) || serving.dropped || reading.dropped {
			t.Error("a connection replaced one that is served")
		}
	})
}

// TestWideBuffersAreBounded has connections that end in time and ones that are unknown.
func TestWideBuffersAreBounded(t *testing.T) {
	in := &Intake{BufferBytes: minBuffer, WideBuffers: 2}
	var conns []*fakeConn
	for range 4 {
		c := &fakeConn{}
		in.Open(c)
		conns = append(conns, c)
	}
	in.Closed(conns[0])
	var got []bool
	for _, c := range conns {
		got = append(got, in.Widen(c))
	}
	in.Closed(conns[1])
	got = append(got, in.Widen(conns[3]))
	if diff := cmp.Diff([]bool{false, true, true, false, true}, got); diff != "" {
		t.Errorf("connections with a longer buffer (-want +got):\n%s", diff)
	}
}

// TestReceiveBuffersFitTheMemory checks the sum of all that may wait in the system for the
// instances that the users run.
func TestReceiveBuffersFitTheMemory(t *testing.T) {
	for _, c := range []struct {
		memoryMb    int64
		descriptors int
	}{{96, 500}, {152, 1848}, {184, 3900}, {264, 5950}, {284, 3900}, {544, 8000}, {24 << 10, 1 << 20}, {24 << 10, 1024}} {
		in := New(c.memoryMb<<20, c.descriptors)
		sum := int64(in.BufferBytes)*int64(in.Conns+listenersPerProcess*in.Backlog) + int64(in.WideBuffers)*WideBufferBytes
		if limit := int64((bufferFraction + wideFraction) * float64(c.memoryMb<<20)); sum > limit || in.BufferBytes < minBuffer {
			t.Errorf("%d MiB and %d descriptors: %d bytes each, %d in all, want at most %d", c.memoryMb, c.descriptors, in.BufferBytes, sum, limit)
		}
	}
}
