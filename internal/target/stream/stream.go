// Package stream inspects answers of engines, so that no caller gets parts of
// two versions or a part of an answer as a whole one.
package stream

import (
	"bytes"

	"github.com/go-faster/errors"
)

// Errors of an inspection.
var (
	// ErrMixed tells that a part came from another version.
	ErrMixed = errors.New("answer comes from more than one version")
	// ErrTooLong tells that an event exceeds the limit.
	ErrTooLong = errors.New("event of a stream is too long")
)

const (
	fingerprintKey = `"system_fingerprint":"`
	doneEvent      = "data: [DONE]"
	maxEvent       = 1 << 20
)

// Inspector reads a stream of server-sent events as it passes. The zero value
// needs Version.
type Inspector struct {
	// Version is the version that every part must name.
	Version string

	rest []byte
	// events is the number of whole data events.
	events int
	done   bool
}

// Take inspects a part of the stream and returns the whole events in it,
// which may be passed on.
func (i *Inspector) Take(part []byte) ([]byte, error) {
	i.rest = append(i.rest, part...)
	end := bytes.LastIndex(i.rest, []byte("\n\n"))
	if end < 0 {
		if len(i.rest) > maxEvent {
			return nil, ErrTooLong
		}
		return nil, nil
	}
	whole := i.rest[: end+2 : end+2]
	for event := range bytes.SplitSeq(whole, []byte("\n\n")) {
		if err := i.event(event); err != nil {
			return nil, err
		}
	}
	i.rest = bytes.Clone(i.rest[end+2:])
	return whole, nil
}

func (i *Inspector) event(e []byte) error {
	if !bytes.HasPrefix(e, []byte("data: ")) {
		return nil
	}
	if bytes.Equal(e, []byte(doneEvent)) {
		i.done = true
		return nil
	}
	i.events++
	return Check(e, i.Version)
}

// Whole reports whether the end of the stream was seen.
func (i *Inspector) Whole() bool { return i.done && len(i.rest) == 0 }

// Events returns the number of whole data events.
func (i *Inspector) Events() int { return i.events }

// Check refuses a body that names a version other than the wanted one.
func Check(body []byte, version string) error {
	for {
		at := bytes.Index(body, []byte(fingerprintKey))
		if at < 0 {
			return nil
		}
		body = body[at+len(fingerprintKey):]
		end := bytes.IndexByte(body, '"')
		if end < 0 || string(body[:end]) != version {
			return ErrMixed
		}
	}
}
