// Package frame encodes JSON-RPC objects as frames of bounded size. A frame is
// the length of its JSON in bytes, as a big-endian uint32, and then the JSON.
package frame

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"slices"
	"sync/atomic"

	"github.com/go-faster/errors"

	"egretproxy/internal/kernel/errwrap"
)

// Errors that Codec returns.
var (
	// ErrTooLarge means that a frame exceeds the limit.
	ErrTooLarge = errors.New("frame is too long")
	// ErrTruncated means that the connection ended within a frame.
	ErrTruncated = errors.New("frame is cut short")
)

const (
	// DefaultLimit is the default of the largest frame in bytes, without the
	// length prefix.
	DefaultLimit = 64 << 20
	prefixBytes  = 4
	// firstBytes is the size with which the buffer of a frame begins. It doubles.
	firstBytes = 8 << 10
)

// Codec implements jsonrpc2.ObjectCodec. The zero value is ready for use.
type Codec struct {
	// Limit is the largest frame in bytes, without the length prefix. Zero
	// means DefaultLimit.
	Limit int
	// Sent and Received count bytes, including length prefixes, if they are
	// not nil.
	Sent     *atomic.Int64
	Received *atomic.Int64
}

func (c Codec) limit() int {
	if c.Limit == 0 {
		return DefaultLimit
	}
	return c.Limit
}

// WriteObject writes one frame. It returns ErrTooLarge, and writes nothing, if
// the frame exceeds the limit.
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

// ReadObject reads one frame and decodes it. Its errors are those of Read.
func (c Codec) ReadObject(r *bufio.Reader, v any) error {
	data, err := c.Read(r, nil)
	if err != nil {
		return err
	}
	return errwrap.Wrap(json.Unmarshal(data, v), "decode frame")
}

// Read reads one frame and returns its JSON. It returns io.EOF if the connection
// ends before a frame, ErrTruncated if it ends within one, and ErrTooLarge if the
// length exceeds the limit. Its buffer grows as data arrives, so that a false length
// allocates no memory. reserve is called before that with the number of bytes by
// which it grows, and may be nil; Read returns its error.
func (c Codec) Read(r *bufio.Reader, reserve func(n int) error) ([]byte, error) {
	var prefix [prefixBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, ErrTruncated
		}
		return nil, err
	}
	if uint64(binary.BigEndian.Uint32(prefix[:])) > uint64(c.limit()) {
		return nil, ErrTooLarge
	}
	length := int(binary.BigEndian.Uint32(prefix[:]))
	data := []byte{}
	for len(data) < length {
		n := min(length-len(data), max(len(data), firstBytes))
		if reserve != nil {
			if err := reserve(n); err != nil {
				return nil, err
			}
		}
		data = slices.Grow(data, n)
		m, err := io.ReadFull(r, data[len(data):len(data)+n])
		data = data[:len(data)+m]
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, ErrTruncated
		}
		if err != nil {
			return nil, err
		}
	}
	if c.Received != nil {
		c.Received.Add(int64(prefixBytes + length))
	}
	return data, nil
}
