package ratelimit

import "time"

// Bucket is a token bucket. Its rate and its capacity are given with each use, because they
// may change. It is not safe for concurrent use.
type Bucket struct {
	tokens    float64
	updatedAt time.Time
}

// NewBucket returns a bucket with the given number of tokens.
func NewBucket(now time.Time, tokens float64) Bucket { return Bucket{tokens: tokens, updatedAt: now} }

// Refill adds the tokens since the last call and drops those beyond the capacity.
func (b *Bucket) Refill(now time.Time, perSecond, capacity float64) {
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		b.tokens += perSecond * elapsed.Seconds()
		b.updatedAt = now
	}
	b.tokens = min(b.tokens, max(capacity, 0))
}

// Tokens returns the tokens at the time of the last refill. They are negative after Overdraw.
func (b *Bucket) Tokens() float64 { return b.tokens }

// Take removes n tokens, or none if there are fewer. It reports whether it did.
func (b *Bucket) Take(n float64) bool {
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// Overdraw removes n tokens, also if there are fewer.
func (b *Bucket) Overdraw(n float64) { b.tokens -= n }

// Wait returns the time until there are n tokens.
func (b *Bucket) Wait(n, perSecond float64) time.Duration {
	return time.Duration(max(n-b.tokens, 0) / perSecond * float64(time.Second))
}
