// Package packed compresses plans, which are large and repeat themselves, for
// the log and the links between regions.
package packed

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/go-faster/errors"
)

const (
	// level weighs the time of a keeper against bytes on every link.
	level = 5
	// maxBytes bounds an unpacked document.
	maxBytes = 64 << 20
)

// ErrTooLarge tells that a document exceeds the bound.
var ErrTooLarge = errors.New("packed document is too large")

// Pack compresses a document.
func Pack(document []byte) []byte {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, level)
	if err != nil {
		panic("packed: level is out of range: " + err.Error())
	}
	// Writes to a buffer in memory don't fail.
	_, _ = w.Write(document)
	_ = w.Close()
	return b.Bytes()
}

// Open returns the document that was packed.
func Open(data []byte) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpack document")
	}
	if len(out) > maxBytes {
		return nil, ErrTooLarge
	}
	return out, nil
}
