package rpc

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"egretproxy/internal/admission/intake"
	"egretproxy/internal/wire/frame"
	"egretproxy/internal/wire/jsonlimit"
)

const roomBytes = 1 << 20

// startEcho starts a server with the limits, whose method Echo returns the params. It
// keeps the other handlers.
func startEcho(t *testing.T, s *Server) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if s.Intake == nil {
		s.Intake = &intake.Intake{}
	}
	if s.Room == nil {
		s.Room = &intake.Intake{Bytes: roomBytes}
	}
	if s.Handlers == nil {
		s.Handlers = map[string]Handler{}
	}
	s.Handlers["Echo"] = func(_ context.Context, params json.RawMessage) (any, error) { return params, nil }
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		if err := s.Serve(ctx, l); err != nil {
			t.Errorf("Serve: %v", err)
		}
	}()
	t.Cleanup(func() { cancel(); <-stopped })
	return l.Addr().String()
}

func echo(t *testing.T, address string, params any) (json.RawMessage, error) {
	t.Helper()
	c := &Client{Address: address}
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), hangTimeout)
	defer cancel()
	var out json.RawMessage
	err := c.Call(ctx, "Echo", params, &out)
	return out, err
}

// TestParamsArriveUnchanged guards against params that jsonrpc2 would decode and
// encode once more.
func TestParamsArriveUnchanged(t *testing.T) {
	address := startEcho(t, &Server{})
	for _, params := range []string{`{"b":1,"a":[1.50,null]}`, `"text"`, `[]`, `12345678901234567890`} {
		out, err := echo(t, address, json.RawMessage(params))
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(params, string(out)); diff != "" {
			t.Errorf("params (-sent +received):\n%s", diff)
		}
	}
	if out, err := echo(t, address, nil); err != nil || string(out) != "null" {
		t.Errorf("a call without params: %s, %v", out, err)
	}
}

// partOfFrame connects and sends a frame of a size without its last byte.
func partOfFrame(t *testing.T, address string, size int) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	prefix := binary.BigEndian.AppendUint32(nil, uint32(size))
	go func() { _, _ = c.Write(append(prefix, strings.Repeat("a", size-1)...)) }()
	return c
}

// TestLongCallsPassBesideUnfinishedOnes has more frames that stop short of their end
// than there is room for, and a sound call that is longer than the room.
func TestLongCallsPassBesideUnfinishedOnes(t *testing.T) {
	s := &Server{Room: &intake.Intake{Bytes: roomBytes, Document: 2 * roomBytes}}
	address := startEcho(t, s)
	for range 8 {
		partOfFrame(t, address, roomBytes/4)
	}
	for deadline := time.Now().Add(hangTimeout); ; time.Sleep(10 * time.Millisecond) {
		if bytes, _ := s.Room.Used(); bytes > roomBytes/2 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("frames do not count")
		}
	}
	if bytes, _ := s.Room.Used(); bytes > roomBytes {
		t.Errorf("%d bytes are held, want at most %d", bytes, roomBytes)
	}
	if _, err := echo(t, address, "short"); err != nil {
		t.Errorf("a short call: %v", err)
	}
	if _, err := echo(t, address, json.RawMessage("["+strings.Repeat("{},", shortFrame/4)+"{}]")); err != nil {
		t.Errorf("a short call with a long list: %v", err)
	}
	long := strings.Repeat("a", 4*roomBytes)
	for deadline := time.Now().Add(hangTimeout); ; time.Sleep(10 * time.Millisecond) {
		if out, err := echo(t, address, long); err == nil && len(out) == len(long)+2 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("a long call does not pass")
		}
	}
}

// TestFrameOverLimitEndsConnection checks that a frame beyond the limit is refused by
// its length.
func TestFrameOverLimitEndsConnection(t *testing.T) {
	refused := make(chan error, 1)
	address := startEcho(t, &Server{
		Room: &intake.Intake{Bytes: roomBytes, Document: roomBytes}, OnConnError: func(err error) { refused <- err },
	})
	partOfFrame(t, address, longestFrame+1)
	if err := <-refused; !errors.Is(err, frame.ErrTooLarge) {
		t.Errorf("refused with %v, want ErrTooLarge", err)
	}
}

// TestLongestFrameFollowsMemory checks that the limit never cuts what a process of an
// earlier version may send on an instance with room for it.
func TestLongestFrameFollowsMemory(t *testing.T) {
	for _, c := range []struct {
		room int64
		want int
	}{{0, frame.DefaultLimit}, {roomBytes, longestFrame}, {longestFrame + 1, longestFrame + 1}, {1 << 30, frame.DefaultLimit}} {
		if got := frameLimit(frame.Codec{}, &intake.Intake{Document: c.room}); got != c.want {
			t.Errorf("limit with %d bytes of room is %d, want %d", c.room, got, c.want)
		}
	}
}

// TestNewConnectionReplacesSilentOne has as many connections as the limit allows, one of
// which has a call in progress.
func TestNewConnectionReplacesSilentOne(t *testing.T) {
	began := make(chan struct{})
	s := &Server{Intake: &intake.Intake{Conns: 3}, Handlers: map[string]Handler{
		"Hold": func(ctx context.Context, _ json.RawMessage) (any, error) {
			close(began)
			<-ctx.Done()
			return nil, ctx.Err()
		},
	}}
	address := startEcho(t, s)
	held := &Client{Address: address}
	defer held.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- held.Call(ctx, "Hold", nil, nil) }()
	<-began
	for range 5 {
		partOfFrame(t, address, 100)
	}
	if _, err := echo(t, address, "ordinary"); err != nil {
		t.Errorf("a call beyond the limit: %v", err)
	}
	if _, conns := s.Intake.Used(); conns > 3 {
		t.Errorf("%d connections are open, want at most 3", conns)
	}
	select {
	case err := <-ended:
		t.Errorf("the call in progress has ended: %v", err)
	default:
		cancel()
		<-ended
	}
}

// TestCallOfManyValuesIsRefused has params that take much more than their length once
// they are decoded.
func TestCallOfManyValuesIsRefused(t *testing.T) {
	refused := make(chan error, 1)
	address := startEcho(t, &Server{
		Room: &intake.Intake{Bytes: roomBytes, Document: roomBytes}, OnConnError: func(err error) { refused <- err },
	})
	if _, err := echo(t, address, json.RawMessage("["+strings.Repeat("{},", 100)+"{}]")); err != nil {
		t.Errorf("a call of a few values: %v", err)
	}
	if _, err := echo(t, address, strings.Repeat("{},", roomBytes)); err != nil {
		t.Errorf("a long text: %v", err)
	}
	if _, err := echo(t, address, json.RawMessage("["+strings.Repeat("{},", 10_000)+"{}]")); err == nil {
		t.Error("a call of many values was answered")
	}
	if err := <-refused; !errors.Is(err, jsonlimit.ErrTooLarge) {
		t.Errorf("refused with %v, want ErrTooLarge", err)
	}
}

// TestResponsesMayBeLongerThanCalls checks that the limit is for callers only.
func TestResponsesMayBeLongerThanCalls(t *testing.T) {
	address := startEcho(t, &Server{Room: &intake.Intake{Bytes: roomBytes, Document: roomBytes}, Handlers: map[string]Handler{
		"Long": func(context.Context, json.RawMessage) (any, error) { return strings.Repeat("a", longestFrame+1), nil },
	}})
	c := &Client{Address: address}
	defer c.Close()
	var out string
	if err := c.Call(t.Context(), "Long", nil, &out); err != nil || len(out) != longestFrame+1 {
		t.Errorf("a response of %d bytes: %v, want %d", len(out), err, longestFrame+1)
	}
}

// TestNewConnectionReplacesUnread has as many callers that don't read their responses as
// there may be connections.
func TestNewConnectionReplacesUnread(t *testing.T) {
	const conns = 2
	var begun sync.WaitGroup
	begun.Add(conns)
	s := &Server{Intake: &intake.Intake{Conns: conns}, Handlers: map[string]Handler{
		"Long": func(context.Context, json.RawMessage) (any, error) {
			begun.Done()
			return strings.Repeat("a", 16<<20), nil
		},
	}}
	address := startEcho(t, s)
	const call = `{"jsonrpc":"2.0","id":1,"method":"Long"}`
	for range conns {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		if _, err := c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(call))), call...)); err != nil {
			t.Fatal(err)
		}
	}
	begun.Wait()
	for deadline := time.Now().Add(hangTimeout); ; time.Sleep(10 * time.Millisecond) {
		if _, err := echo(t, address, "ordinary"); err == nil {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("an ordinary call is not answered")
		}
	}
}
