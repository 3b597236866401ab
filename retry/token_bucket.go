package retry

// TokenBucket is one instance's part of a budget of repeats that all instances share
// without a message between them: over all instances, the repeats in any window
// stay below a ratio of the requests plus a fixed number.
//
// Each request earns a part of a token and each repeat takes one. An instance
// holds at most its part of the fixed number and begins with none, so that in
// any window the instances together spend at most the fixed number plus what
// the window's requests have earned, whichever instances end or start anew.
// TokenBucket is not safe for concurrent use.
type TokenBucket struct {
	tokensPerRequest float64
	capacity         float64
	tokens           float64
}

// ratioFraction and slackFraction are the parts of the bounds that are handed out. The
// rest is for instances that do not know of each other yet.
const (
	ratioFraction = 0.9
	slackFraction = 0.85
)

// NewTokenBucket returns an instance's part of a budget of ratio times the requests
// plus slack.
func NewTokenBucket(ratio float64) *TokenBucket {
	return &TokenBucket{tokensPerRequest: ratioFraction * ratio}
}

// SetCapacity sets what the instance may hold: its part of slack among instances.
func (t *TokenBucket) SetCapacity(slack float64, instances int) {
	t.capacity = slackFraction * slack / float64(max(instances, 1))
	t.tokens = min(t.tokens, t.capacity)
}

// Earn earns what one request of a client earns.
func (t *TokenBucket) Earn() { t.tokens = min(t.capacity, t.tokens+t.tokensPerRequest) }

// Spend takes a token for a repeat. It reports whether there was one.
func (t *TokenBucket) Spend() bool {
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// Available returns the tokens held.
func (t *TokenBucket) Available() float64 { return t.tokens }
