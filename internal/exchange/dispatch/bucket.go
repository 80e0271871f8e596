package dispatch

import "time"

// bucket is a token bucket that limits the requests to one target in any
// second. The zero value is full.
type bucket struct {
	tokens float64
	at     time.Time
}

// bucketSplit divides a share between the bucket size and the refill rate:
// any one-second window admits at most size + rate requests. The size is at
// least one request.
const bucketSplit = 2

func (b *bucket) refill(now time.Time, share float64) float64 {
	size := max(share/bucketSplit, 1)
	rate := max(share-size, share/bucketSplit)
	if b.at.IsZero() {
		b.tokens = size
	} else {
		b.tokens = min(size, b.tokens+now.Sub(b.at).Seconds()*rate)
	}
	b.at = now
	return b.tokens
}

// ready reports whether a request may be sent now. A share of 0 means no
// limit.
func (b *bucket) ready(now time.Time, share float64) bool {
	return share <= 0 || b.refill(now, share) >= 1
}

// take consumes one token.
func (b *bucket) take(now time.Time, share float64) {
	if share > 0 {
		b.refill(now, share)
		b.tokens--
	}
}
