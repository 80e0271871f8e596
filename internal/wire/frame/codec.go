// Package frame puts JSON-RPC objects into length-prefixed frames of bounded
// size.
package frame

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"sync/atomic"

	"github.com/go-faster/errors"

	"egretproxy/internal/kernel/errwrap"
)

// Errors of the codec.
var (
	// ErrTooLarge tells that a frame exceeds the limit.
	ErrTooLarge = errors.New("frame is too long")
	// ErrTruncated tells that the connection ended within a frame.
	ErrTruncated = errors.New("frame is cut short")
)

const (
	// DefaultLimit is the largest frame in bytes.
	DefaultLimit = 64 << 20
	prefixBytes  = 4
)

// Codec is a codec for jsonrpc2. The zero value is ready for use.
type Codec struct {
	// Limit is the largest frame in bytes. Zero means DefaultLimit.
	Limit int
	// Sent and Received count bytes if they are not nil.
	Sent     *atomic.Int64
	Received *atomic.Int64
}

func (c Codec) limit() int {
	if c.Limit == 0 {
		return DefaultLimit
	}
	return c.Limit
}

// WriteObject writes one frame.
func (c Codec) WriteObject(w io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return errors.Wrap(err, "encode frame")
	}
	if len(data) > c.limit() {
		return ErrTooLarge
	}
	out := make([]byte, prefixBytes, prefixBytes+len(data))
	binary.BigEndian.PutUint32(out, uint32(len(data)))
	out = append(out, data...)
	if c.Sent != nil {
		c.Sent.Add(int64(len(out)))
	}
	_, err = w.Write(out)
	return err
}

// ReadObject reads one frame. It reads as the data arrives, so that a false
// length claims no memory.
func (c Codec) ReadObject(r *bufio.Reader, v any) error {
	var prefix [prefixBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return ErrTruncated
		}
		return err
	}
	length := int(binary.BigEndian.Uint32(prefix[:]))
	if length > c.limit() {
		return ErrTooLarge
	}
	data, err := io.ReadAll(io.LimitReader(r, int64(length)))
	if err != nil {
		return err
	}
	if len(data) < length {
		return ErrTruncated
	}
	if c.Received != nil {
		c.Received.Add(int64(prefixBytes + length))
	}
	return errwrap.Wrap(json.Unmarshal(data, v), "decode frame")
}
