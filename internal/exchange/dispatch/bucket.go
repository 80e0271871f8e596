package dispatch

import "time"

// bucket bounds the requests to one target in any second. The zero value is
// full.
type bucket struct {
	tokens float64
	at     time.Time
}

// A window of a second passes at most size + rate requests, so both halves
// of a share go to one of them each. One request must always fit.
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

// ready reports whether a request may go now. A share of 0 means no bound.
func (k *bucket) ready(now time.Time, share float64) bool {
	return share <= 0 || k.refill(now, share) >= 1
}

// take uses up one request.
func (k *bucket) take(now time.Time, share float64) {
	if share > 0 {
		k.refill(now, share)
		k.tokens--
	}
}
