// Package stream inspects the responses of engines, so that no caller receives
// output of two versions, or a truncated response as a complete one.
package stream

import (
	"bytes"

	"github.com/go-faster/errors"
)

// Errors returned by Inspect and CheckVersion.
var (
	// ErrMixedVersions means that an event or body names another version.
	ErrMixedVersions = errors.New("answer comes from more than one version")
	// ErrEventTooLong means that an event exceeds maxEventBytes.
	ErrEventTooLong = errors.New("event of a stream is too long")
)

const (
	fingerprintKey = `"system_fingerprint":"`
	doneEvent      = "data: [DONE]"
	maxEventBytes  = 1 << 20
)

// Inspector checks a stream of server-sent events while it is relayed. Set
// Version before use.
type Inspector struct {
	// Version is the version that every event must come from.
	Version string

	// incomplete is the start of an event whose end is not received yet.
	incomplete []byte
	// events is the number of data events, without the end marker.
	events int
	done   bool
}

// Inspect checks the next bytes of the stream and returns the events that they
// complete, which may be forwarded. It buffers an incomplete event. Bytes after the
// end marker belong to no stream and are dropped.
func (i *Inspector) Inspect(part []byte) ([]byte, error) {
	if i.done {
		return nil, nil
	}
	i.incomplete = append(i.incomplete, part...)
	end := bytes.LastIndex(i.incomplete, []byte("\n\n"))
	if end < 0 {
		if len(i.incomplete) > maxEventBytes {
			return nil, ErrEventTooLong
		}
		return nil, nil
	}
	complete := i.incomplete[: end+2 : end+2]
	inspected := 0
	for event := range bytes.SplitSeq(complete, []byte("\n\n")) {
		if err := i.inspectEvent(event); err != nil {
			return nil, err
		}
		if inspected += len(event) + 2; i.done {
			i.incomplete = nil
			return complete[:inspected], nil
		}
	}
	i.incomplete = bytes.Clone(i.incomplete[end+2:])
	return complete, nil
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

// Complete reports whether the end marker has been returned.
func (i *Inspector) Complete() bool { return i.done }

// Events returns the number of data events, without the end marker.
func (i *Inspector) Events() int { return i.events }

// CheckVersion returns ErrMixedVersions if the body names a version other than
// version. A body that names none is accepted.
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
