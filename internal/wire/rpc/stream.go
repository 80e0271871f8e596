package rpc

import (
	"bufio"
	"encoding/json"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/jsonrpc2"

	"egretproxy/internal/admission/intake"
	"egretproxy/internal/kernel/errwrap"
	"egretproxy/internal/wire/frame"
	"egretproxy/internal/wire/jsonlimit"
)

const (
	// longestFrame is the least limit of a frame in bytes, whatever the memory. A
	// configuration of 8 MiB that can't be compressed takes 11 MiB in a frame, and the
	// snapshot of 100,000 claims 18 MiB.
	longestFrame = 24 << 20
	// roomTimeout limits the wait for room for a long frame. It is longer than the
	// time after which those without progress are given up.
	roomTimeout = 3 * time.Second
	// shortFrame is the length in bytes up to which a call is decoded whatever room
	// there is, so that others can't keep it out.
	shortFrame = 8 << 10
)

// errNoCall means that a frame is another object than a call.
var errNoCall = errors.New("frame has no method")

// frameLimit returns the limit in bytes for frames of callers, who may be anyone if
// there is no TLS.
func frameLimit(codec frame.Codec, room *intake.Intake) int {
	limit := codec.Limit
	if limit == 0 {
		limit = frame.DefaultLimit
	}
	if room.Document <= 0 {
		return limit
	}
	return int(min(int64(limit), max(room.Document, longestFrame)))
}

// callStream reads calls from a connection. A long frame takes room of the process
// until its call has ended.
type callStream struct {
	jsonrpc2.ObjectStream
	server *Server
	conn   *serverConn
	// codec reads calls from r. Responses may be longer.
	codec frame.Codec
	r     *bufio.Reader

	// claim and params are those of the latest call. They are used by the goroutine
	// that reads, which also calls the handler.
	claim  *intake.Claim
	params json.RawMessage
}

func newCallStream(s *Server, c *serverConn, conn net.Conn) *callStream {
	calls := s.Codec
	calls.Limit = frameLimit(calls, s.Room)
	return &callStream{
		ObjectStream: jsonrpc2.NewBufferedStream(conn, s.Codec),
		server:       s, conn: c, codec: calls, r: bufio.NewReader(conn),
	}
}

// call is a request or notification whose params are not decoded.
type call struct {
	Version string          `json:"jsonrpc"`
	Method  string          `json:"method"`
	ID      json.RawMessage `json:"id,omitempty"`
	Params  json.RawMessage `json:"params,omitempty"`
}

// ReadObject implements jsonrpc2.ObjectStream. It keeps the params from jsonrpc2, which
// decodes and encodes them once more and takes a multiple of their size.
func (s *callStream) ReadObject(v any) error {
	s.claim = s.server.Room.Claim(s.conn.interrupt)
	data, err := s.codec.Read(s.r, s.reserve)
	if err != nil {
		s.claim.Release()
		s.report(err)
		return err
	}
	s.claim.Whole()
	err = s.reserveDecoded(data)
	if err == nil {
		err = s.decode(data, v)
	}
	if err != nil {
		s.claim.Release()
		s.report(err)
		return errors.Wrap(err, "decode frame")
	}
	return nil
}

// reserveDecoded takes the room that a long call's params take once they are decoded.
func (s *callStream) reserveDecoded(data []byte) error {
	limit := s.server.Room.Document
	if limit <= 0 || len(data) <= shortFrame {
		return nil
	}
	n, err := jsonlimit.Bytes(data, limit)
	if err != nil {
		return err
	}
	return s.claim.Await(int(n), roomTimeout)
}

func (s *callStream) reserve(n int) error {
	s.conn.receive()
	intake.Process().Grow(s.conn, s.conn.Conn, s.claim.Bytes(), s.claim.Bytes()+int64(n))
	return s.claim.Await(n, roomTimeout)
}

func (s *callStream) decode(data []byte, v any) error {
	var c call
	if err := json.Unmarshal(data, &c); err != nil {
		return err
	}
	if c.Method == "" {
		return errNoCall
	}
	s.params = c.Params
	c.Params = nil
	head, err := json.Marshal(c)
	if err != nil {
		return err
	}
	return errwrap.Wrap(json.Unmarshal(head, v), "head of the call")
}

// report reports frames that can't be read.
func (s *callStream) report(err error) {
	var syntax *json.SyntaxError
	switch {
	case errors.Is(err, frame.ErrTooLarge), errors.Is(err, frame.ErrTruncated),
		errors.Is(err, intake.ErrFull), errors.Is(err, intake.ErrStalled),
		errors.Is(err, jsonlimit.ErrTooLarge), errors.As(err, &syntax):
		s.server.reportError(err)
	}
}

// take returns the params of the call that was read last, and the function that
// returns its room.
func (s *callStream) take() (params *json.RawMessage, release func()) {
	if s.params != nil {
		own := s.params
		params = &own
	}
	return params, s.claim.Release
}

// interrupt ends the read that waits for more of a frame.
func (c *serverConn) interrupt() { _ = c.SetReadDeadline(time.Unix(1, 0)) }
