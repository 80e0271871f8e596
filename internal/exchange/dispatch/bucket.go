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

func (k *bucket) refill(now time.Time, share float64) float64 {
	size := max(share/bucketSplit, 1)
	rate := max(share-size, share/bucketSplit)
	if k.at.IsZero() {
		k.tokens = size
	} else {
		k.tokens = min(size, k.tokens+now.Sub(k.at).Seconds()*rate)
	}
	k.at = now
	return k.tokens
}

// ready reports whether a request may be sent now. A share of 0 means no
// limit.
func (k *bucket) ready(now time.Time, share float64) bool {
	return share <= 0 || k.refill(now, share) >= 1
}

// take consumes one token.
func (k *bucket) take(now time.Time, share float64) {
	if share > 0 {
		k.refill(now, share)
		k.tokens--
	}
}
