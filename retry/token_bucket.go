package retry

// TokenBucket is one instance's share of a retry budget of all instances, which they keep without
// exchanging messages. In any time window, the retries of all instances together stay below a ratio
// of the requests in the window plus a fixed slack.
//
// Each request earns a fraction of a token, and each retry takes one token. A bucket starts empty,
// and its capacity is at most the instance's share of the slack. The buckets at the beginning of a window
// thus hold at most the slack, and in the window the instances spend at most the slack plus the
// tokens that the window's requests earn. Stopping and restarting instances does not add tokens.
//
// A TokenBucket is not safe for concurrent use.
type TokenBucket struct {
	tokensPerRequest float64
	capacity         float64
	tokens           float64
}

// ratioFraction and slackFraction are the fractions of ratio and slack that instances use. The
// remainder is a reserve for instances that do not know of each other yet and therefore use shares
// that are too large.
const (
	ratioFraction = 0.9
	slackFraction = 0.85
)

// NewTokenBucket returns an empty bucket for a budget of ratio times the requests. Each request
// earns ratioFraction of ratio. The capacity is 0 until SetCapacity is called.
func NewTokenBucket(ratio float64) *TokenBucket {
	return &TokenBucket{tokensPerRequest: ratioFraction * ratio}
}

// SetCapacity sets the capacity to slackFraction of the share of slack that one of the given number
// of instances has. Tokens beyond the capacity are lost.
func (t *TokenBucket) SetCapacity(slack float64, instances int) {
	t.capacity = slackFraction * slack / float64(max(instances, 1))
	t.tokens = min(t.tokens, t.capacity)
}

// Earn adds the fraction of a token that one client request earns.
func (t *TokenBucket) Earn() { t.tokens = min(t.capacity, t.tokens+t.tokensPerRequest) }

// Spend takes a token for a retry. It reports whether there was one.
func (t *TokenBucket) Spend() bool {
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// Available returns the number of tokens in the bucket.
func (t *TokenBucket) Available() float64 { return t.tokens }
