// Package sse splits a stream of server-sent events into complete events.
package sse

import (
	"bufio"
	"bytes"
	"io"

	"github.com/go-faster/errors"
)

// ErrTooLong is returned for an event larger than maxEventBytes.
var ErrTooLong = errors.New("event is too long")

const (
	// maxEventBytes limits the size of one event.
	maxEventBytes   = 256 << 10
	readBufferBytes = 4 << 10
)

// Reader reads events from a stream. Create one with New.
type Reader struct {
	br *bufio.Reader
	// LastEventID is the ID of the most recent event that had one.
	LastEventID string
}

// New returns a Reader of the stream r.
func New(r io.Reader) *Reader {
	return &Reader{br: bufio.NewReaderSize(r, readBufferBytes)}
}

// Next returns the next complete event, including the blank line that ends
// it. It returns io.EOF at the end of the stream, or io.ErrUnexpectedEOF if
// the stream ends within an event, whose bytes are discarded.
func (r *Reader) Next() ([]byte, error) {
	var event []byte
	for {
		line, err := r.br.ReadSlice('\n')
		event = append(event, line...)
		if len(event) > maxEventBytes {
			return nil, ErrTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err == io.EOF && len(event) > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return event, nil
		}
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			r.LastEventID = string(bytes.TrimSpace(id))
		}
	}
}
