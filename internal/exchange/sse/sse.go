// Package sse splits a stream of server-sent events into complete events.
package sse

import (
	"bufio"
	"bytes"
	"io"

	"github.com/go-faster/errors"
)

// Errors returned by Next.
var (
	// ErrTooLong means that an event is larger than maxEventBytes.
	ErrTooLong = errors.New("event is too long")
	// ErrMalformed means that the bytes up to a blank line are no event: none
	// of their lines is a standard field or a comment.
	ErrMalformed = errors.New("malformed event")
)

const (
	// maxEventBytes limits the size of one event.
	maxEventBytes   = 256 << 10
	readBufferBytes = 4 << 10
)

// Reader reads events from a stream. Create one with New.
type Reader struct {
	br *bufio.Reader
	// ID is the ID of what Next returned last, empty if it has none.
	ID string
	// Event is set if what Next returned last has data or an ID. Otherwise it is
	// a comment, a setting for clients or blank lines.
	Event bool
}

// New returns a Reader of the stream r.
func New(r io.Reader) *Reader {
	return &Reader{br: bufio.NewReaderSize(r, readBufferBytes)}
}

// Next returns the next complete event, including the blank line that ends
// it and blank lines before it. It returns io.EOF at the end of the stream, or
// io.ErrUnexpectedEOF if the stream ends within an event, whose bytes are
// discarded. Blank lines alone count as an event only at the end of the stream,
// so that their number is limited.
func (r *Reader) Next() ([]byte, error) {
	r.ID, r.Event = "", false
	var event []byte
	// lineStart is the offset of the current line in event.
	lineStart := 0
	// text is set after a line that is not blank, standard after a standard
	// field or a comment.
	text, standard := false, false
	for {
		part, err := r.br.ReadSlice('\n')
		event = append(event, part...)
		if len(event) > maxEventBytes {
			return nil, ErrTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		line := bytes.TrimRight(event[lineStart:], "\r\n")
		if err == io.EOF && len(event) > 0 {
			if text || len(line) > 0 {
				return nil, io.ErrUnexpectedEOF
			}
			return event, nil
		}
		if err != nil {
			return nil, err
		}
		if len(line) == 0 && text {
			if !standard {
				return nil, ErrMalformed
			}
			return event, nil
		}
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			r.ID = string(bytes.TrimSpace(id))
			r.Event = true
		}
		r.Event = r.Event || isData(line)
		lineStart = len(event)
		text, standard = text || len(line) > 0, standard || isStandard(line)
	}
}

// isData reports whether a line is a data field.
func isData(line []byte) bool {
	name, _, _ := bytes.Cut(line, []byte(":"))
	return string(name) == "data"
}

// isStandard reports whether a line is a comment or a field of the standard.
// Clients ignore all other fields.
func isStandard(line []byte) bool {
	name, _, found := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "data", "event", "id", "retry":
		return true
	case "":
		return found
	default:
		return false
	}
}
