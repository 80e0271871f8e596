// Package jsonlimit bounds the memory that JSON takes once it is decoded. Lists of tiny
// values take hundreds of times their length.
package jsonlimit

import (
	"bytes"

	"github.com/go-faster/errors"
)

// ErrTooLarge means that a document would take more memory than the limit.
var ErrTooLarge = errors.New("document takes too much memory")

// The memory in bytes that an element of a list takes besides its text: the largest
// structures that the messages have in outer and in inner lists, and an entry of a map of
// names; and what a member of an object takes that is decoded to a map.
const (
	objectBytes = 640
	innerBytes  = 160
	textBytes   = 270
	listBytes   = 48
	scalarBytes = 32
	memberBytes = 32
)

// outerDepth is the number of brackets around an element of an outer list: the list, the
// document and the params of a call.
const outerDepth = 3

// maxDepth is that of encoding/json, which refuses what is deeper.
const maxDepth = 10_000

// Bytes returns about how many bytes the elements of a document's lists and objects take
// once they are decoded, or ErrTooLarge if that is more than limit. It doesn't check the
// syntax.
func Bytes(document []byte, limit int64) (int64, error) {
	s := scanner{document: document}
	for s.at < len(document) && len(s.open) <= maxDepth {
		s.next()
		if s.bytes > limit {
			return s.bytes, ErrTooLarge
		}
	}
	return s.bytes, nil
}

// scanner walks over the values of a document.
type scanner struct {
	document []byte
	at       int
	// bytes is what the elements so far take.
	bytes int64
	// open holds the brackets that are open.
	open []byte
}

// next walks over a bracket, a text, a scalar or a separator.
func (s *scanner) next() {
	switch c := s.document[s.at]; c {
	case '"':
		s.add(textBytes)
		s.skipText()
		return
	case '{', '[':
		s.add(s.bracketBytes(c))
		s.open = append(s.open, c)
	case '}', ']':
		if n := len(s.open); n > 0 {
			s.open = s.open[:n-1]
		}
	case ':':
		s.bytes += memberBytes
	case ' ', '\t', '\r', '\n', ',':
	default:
		s.add(scalarBytes)
		s.skipScalar()
		return
	}
	s.at++
}

func (s *scanner) bracketBytes(c byte) int64 {
	switch {
	case c == '[':
		return listBytes
	case len(s.open) > outerDepth:
		return innerBytes
	}
	return objectBytes
}

// add counts a value if it is the element of a list.
func (s *scanner) add(n int64) {
	if l := len(s.open); l > 0 && s.open[l-1] == '[' {
		s.bytes += n
	}
}

func (s *scanner) skipText() {
	for s.at++; s.at < len(s.document); {
		end := bytes.IndexAny(s.document[s.at:], `"\`)
		if end < 0 {
			s.at = len(s.document)
			return
		}
		s.at += end + 1
		if s.document[s.at-1] == '"' {
			return
		}
		// The character after a backslash belongs to the text.
		s.at++
	}
}

func (s *scanner) skipScalar() {
	end := bytes.IndexAny(s.document[s.at:], " \t\r\n,:[]{}\"")
	if end < 0 {
		end = len(s.document) - s.at
	}
	s.at += end
}
