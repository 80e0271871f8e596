// Package bitmap tells which chunks of a manifest a process holds.
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

// New returns an empty set with room for n chunks.
func New(n int) Bitmap {
	return make(Bitmap, (n+wordBits-1)/wordBits)
}

// Has reports whether the set holds i.
func (b Bitmap) Has(i int) bool {
	return i/wordBits < len(b) && b[i/wordBits]&(1<<(i%wordBits)) != 0
}

// Set adds i, which must be within the room of New.
func (b Bitmap) Set(i int) {
	b[i/wordBits] |= 1 << (i % wordBits)
}

// Count returns the size of the set.
func (b Bitmap) Count() int {
	n := 0
	for _, w := range b {
		n += bits.OnesCount64(w)
	}
	return n
}

// MarshalText encodes the set in base64.
func (b Bitmap) MarshalText() ([]byte, error) {
	raw := make([]byte, 8*len(b))
	for i, w := range b {
		binary.LittleEndian.PutUint64(raw[8*i:], w)
	}
	return []byte(base64.StdEncoding.EncodeToString(raw)), nil
}

// UnmarshalText decodes the set.
func (b *Bitmap) UnmarshalText(text []byte) error {
	raw, err := base64.StdEncoding.DecodeString(string(text))
	if err != nil {
		return errors.Wrap(err, "decode bitmap")
	}
	if len(raw)%8 != 0 {
		return errors.New("bitmap is cut short")
	}
	out := make(Bitmap, len(raw)/8)
	for i := range out {
		out[i] = binary.LittleEndian.Uint64(raw[8*i:])
	}
	*b = out
	return nil
}
