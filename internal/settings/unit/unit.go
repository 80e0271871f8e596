// Package unit parses quantities with their units.
package unit

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Duration is a time span such as "250ms".
type Duration time.Duration

// UnmarshalText parses a duration with its unit.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("%q is no duration such as \"250ms\"", text)
	}
	if v < 0 {
		return errors.Errorf("%q is negative", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Std returns the duration of the standard library.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Bytes is a size such as "4MiB".
type Bytes int64

// BitRate is a rate in bits a second such as "25Mbit/s".
type BitRate int64

type unitScale struct {
	suffix string
	factor float64
}

var byteScales = []unitScale{
	{"KiB", 1 << 10},
	{"MiB", 1 << 20},
	{"GiB", 1 << 30},
	{"TiB", 1 << 40},
	{"B", 1},
}

var bitRateScales = []unitScale{
	{"kbit/s", 1e3},
	{"Mbit/s", 1e6},
	{"Gbit/s", 1e9},
	{"bit/s", 1},
}

// UnmarshalText parses a size with its unit.
func (b *Bytes) UnmarshalText(text []byte) error {
	v, ok := parse(string(text), byteScales)
	if !ok {
		return errors.Errorf("%q is no size such as \"4MiB\"", text)
	}
	*b = Bytes(v)
	return nil
}

// MarshalText writes the size in bytes.
func (b Bytes) MarshalText() ([]byte, error) {
	return []byte(strconv.FormatInt(int64(b), 10) + "B"), nil
}

// UnmarshalText parses a rate with its unit.
func (r *BitRate) UnmarshalText(text []byte) error {
	v, ok := parse(string(text), bitRateScales)
	if !ok {
		return errors.Errorf("%q is no rate such as \"25Mbit/s\"", text)
	}
	*r = BitRate(v)
	return nil
}

// MarshalText writes the rate in bits a second.
func (r BitRate) MarshalText() ([]byte, error) {
	return []byte(strconv.FormatInt(int64(r), 10) + "bit/s"), nil
}

// BytesPerSecond returns the rate in bytes a second.
func (r BitRate) BytesPerSecond() float64 { return float64(r) / 8 }

func parse(text string, scales []unitScale) (int64, bool) {
	for _, s := range scales {
		number, ok := strings.CutSuffix(text, s.suffix)
		if !ok {
			continue
		}
		v, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
		if err != nil || v < 0 || math.IsNaN(v) || v*s.factor > math.MaxInt64/2 {
			return 0, false
		}
		return int64(v * s.factor), true
	}
	return 0, false
}
