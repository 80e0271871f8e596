// Package sse cuts a stream of server-sent events into whole events.
package sse

import (
	"bufio"
	"bytes"
	"io"

	"github.com/go-faster/errors"
)

// ErrTooLong tells that an event exceeds maxEventBytes.
var ErrTooLong = errors.New("event is too long")

const (
	// maxEventBytes bounds one event in bytes.
	maxEventBytes   = 256 << 10
	readBufferBytes = 4 << 10
)

// Reader reads events. Take New.
type Reader struct {
	br *bufio.Reader
	// LastEventID is the id of the newest event that named one.
	LastEventID string
}

// New returns a reader of the stream.
func New(r io.Reader) *Reader {
	return &Reader{br: bufio.NewReaderSize(r, readBufferBytes)}
}

// Next returns the next whole event with the blank line that ends it. At the
// end of the stream it returns io.EOF, with bytes that form no whole event
// dropped and reported as io.ErrUnexpectedEOF.
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
