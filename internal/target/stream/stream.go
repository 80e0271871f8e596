// Package stream inspects answers of engines, so that no caller gets parts of
// two versions or a part of an answer as a whole one.
package stream

import (
	"bytes"

	"github.com/go-faster/errors"
)

// Errors of an inspection.
var (
	// ErrMixedVersions tells that a part came from another version.
	ErrMixedVersions = errors.New("answer comes from more than one version")
	// ErrEventTooLong tells that an event exceeds the limit.
	ErrEventTooLong = errors.New("event of a stream is too long")
)

const (
	fingerprintKey = `"system_fingerprint":"`
	doneEvent      = "data: [DONE]"
	maxEventBytes  = 1 << 20
)

// Inspector reads a stream of server-sent events as it passes. The zero value
// needs Version.
type Inspector struct {
	// Version is the version that every part must name.
	Version string

	incomplete []byte
	// events is the number of whole data events.
	events int
	done   bool
}

// Inspect inspects a part of the stream and returns the whole events in it,
// which may be passed on.
func (i *Inspector) Inspect(part []byte) ([]byte, error) {
	i.incomplete = append(i.incomplete, part...)
	end := bytes.LastIndex(i.incomplete, []byte("\n\n"))
	if end < 0 {
		if len(i.incomplete) > maxEventBytes {
			return nil, ErrEventTooLong
		}
		return nil, nil
	}
	whole := i.incomplete[: end+2 : end+2]
	for event := range bytes.SplitSeq(whole, []byte("\n\n")) {
		if err := i.inspectEvent(event); err != nil {
			return nil, err
		}
	}
	i.incomplete = bytes.Clone(i.incomplete[end+2:])
	return whole, nil
}

func (i *Inspector) inspectEvent(e []byte) error {
	if !bytes.HasPrefix(e, []byte("data: ")) {
		return nil
	}
	if bytes.Equal(e, []byte(doneEvent)) {
		i.done = true
		return nil
	}
	i.events++
	return CheckVersion(e, i.Version)
}

// Complete reports whether the end of the stream was seen.
func (i *Inspector) Complete() bool { return i.done && len(i.incomplete) == 0 }

// Events returns the number of whole data events.
func (i *Inspector) Events() int { return i.events }

// CheckVersion refuses a body that names a version other than the wanted one.
func CheckVersion(body []byte, version string) error {
	for {
		at := bytes.Index(body, []byte(fingerprintKey))
		if at < 0 {
			return nil
		}
		body = body[at+len(fingerprintKey):]
		end := bytes.IndexByte(body, '"')
		if end < 0 || string(body[:end]) != version {
			return ErrMixedVersions
		}
	}
}
