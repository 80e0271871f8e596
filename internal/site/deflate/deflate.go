// Package deflate compresses plans, which are large and repeat themselves, for
// the log and the links between regions.
package deflate

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/go-faster/errors"
)

const (
	// compressionLevel weighs the time of a keeper against bytes on every link.
	compressionLevel = 5
	// maxDocumentBytes bounds an unpacked document.
	maxDocumentBytes = 64 << 20
)

// ErrTooLarge tells that a document exceeds the bound.
var ErrTooLarge = errors.New("packed document is too large")

// Compress compresses a document.
func Compress(document []byte) []byte {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, compressionLevel)
	if err != nil {
		panic("packed: level is out of range: " + err.Error())
	}
	// Writes to a buffer in memory don't fail.
	_, _ = w.Write(document)
	_ = w.Close()
	return b.Bytes()
}

// Decompress returns the document that was packed.
func Decompress(data []byte) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxDocumentBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpack document")
	}
	if len(out) > maxDocumentBytes {
		return nil, ErrTooLarge
	}
	return out, nil
}
