package connpool

import (
	"io"
	"math"

	"github.com/go-faster/errors"
)

const (
	// maxHeaderBytes limits what a target may send before a response's body:
	// its header and the interim responses before it. It is four times what
	// callers may send.
	maxHeaderBytes = 64 << 10
	// maxStrayBodyBytes limits the body of a response to an earlier request
	// that is skipped.
	maxStrayBodyBytes = 1 << 20
	// unlimited applies to the body of the response, which its reader limits.
	unlimited = math.MaxInt64
)

var errTooLong = errors.New("target sent too much")

// limitedReader reads from a target. It returns errTooLong once the target has
// sent more than the current limit, which is set for each part of a response,
// so that a target that sends without end is detected.
type limitedReader struct {
	r io.Reader
	// remaining is the number of bytes that may still be read. It counts the
	// read-ahead of the buffer above, so that a limit is exact only to the
	// size of that buffer.
	remaining int64
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, errTooLong
	}
	n, err := l.r.Read(p[:min(int64(len(p)), l.remaining)])
	l.remaining -= int64(n)
	return n, err
}
