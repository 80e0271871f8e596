// Package bitmap provides a set of chunk numbers as a bitmap.
package bitmap

import (
	"encoding/base64"
	"encoding/binary"
	"math/bits"

	"github.com/go-faster/errors"
)

const wordBits = 64

// Bitmap is a set of chunk numbers. The zero value is empty.
type Bitmap []uint64

// New returns an empty set with capacity for the numbers 0 to n-1.
func New(n int) Bitmap {
	return make(Bitmap, (n+wordBits-1)/wordBits)
}

// Has reports whether i is in the set.
func (b Bitmap) Has(i int) bool {
	return i/wordBits < len(b) && b[i/wordBits]&(1<<(i%wordBits)) != 0
}

// Set adds i, which must be less than the capacity given to New.
func (b Bitmap) Set(i int) {
	b[i/wordBits] |= 1 << (i % wordBits)
}

// Count returns the number of elements.
func (b Bitmap) Count() int {
	n := 0
	for _, w := range b {
		n += bits.OnesCount64(w)
	}
	return n
}

// MarshalText implements encoding.TextMarshaler with base64 of little-endian
// words.
func (b Bitmap) MarshalText() ([]byte, error) {
	raw := make([]byte, 8*len(b))
	for i, w := range b {
		binary.LittleEndian.PutUint64(raw[8*i:], w)
	}
	return []byte(base64.StdEncoding.EncodeToString(raw)), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (b *Bitmap) UnmarshalText(text []byte) error {
	raw, err := base64.StdEncoding.DecodeString(string(text))
	if err != nil {
		return errors.Wrap(err, "decode bitmap")
	}
	if len(raw)%8 != 0 {
		return errors.New("bitmap is truncated")
	}
	out := make(Bitmap, len(raw)/8)
	for i := range out {
		out[i] = binary.LittleEndian.Uint64(raw[8*i:])
	}
	*b = out
	return nil
}
