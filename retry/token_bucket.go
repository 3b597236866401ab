package retry

// Tokens is one instance's part of a budget of repeats that all instances share
// without a message between them: over all instances, the repeats in any window
// stay below a ratio of the requests plus a fixed number.
//
// Each request earns a part of a token and each repeat takes one. An instance
// holds at most its part of the fixed number and begins with none, so that in
// any window the instances together spend at most the fixed number plus what
// the window's requests have earned, whichever instances end or start anew.
// Tokens is not safe for concurrent use.
type Tokens struct {
	ratio float64
	most  float64
	held  float64
}

// safeRatio and safeSlack are the parts of the bounds that are handed out. The
// rest is for instances that do not know of each other yet.
const (
	safeRatio = 0.9
	safeSlack = 0.85
)

// NewTokens returns an instance's part of a budget of ratio times the requests
// plus slack.
func NewTokens(ratio float64) *Tokens {
	return &Tokens{ratio: safeRatio * ratio}
}

// Share sets what the instance may hold: its part of slack among instances.
func (t *Tokens) Share(slack float64, instances int) {
	t.most = safeSlack * slack / float64(max(instances, 1))
	t.held = min(t.held, t.most)
}

// Request earns what one request of a client earns.
func (t *Tokens) Request() { t.held = min(t.most, t.held+t.ratio) }

// Spend takes a token for a repeat. It reports whether there was one.
func (t *Tokens) Spend() bool {
	if t.held < 1 {
		return false
	}
	t.held--
	return true
}

// Held returns the tokens held.
func (t *Tokens) Held() float64 { return t.held }
