package hedge

const (
	// requestsPerHedge is the number of requests that earn one hedge. Hedges are also paid from the
	// budget of retries, of which they thus leave at least half to retries.
	requestsPerHedge = 10
	// maxHedges is the number of hedges that a budget holds at most.
	maxHedges = 4
)

// Budget bounds the hedges of one instance to a tenth of its requests plus maxHedges. The zero value
// is empty, so that a restart adds no hedges. It is not safe for concurrent use.
type Budget struct {
	// earned is the number of requests that are not spent.
	earned int
}

// Earn records a request of a client.
func (b *Budget) Earn() { b.earned = min(b.earned+1, maxHedges*requestsPerHedge) }

// HasHedge reports whether a hedge may be sent.
func (b *Budget) HasHedge() bool { return b.earned >= requestsPerHedge }

// Spend takes one hedge. It reports whether there was one.
func (b *Budget) Spend() bool {
	if !b.HasHedge() {
		return false
	}
	b.earned -= requestsPerHedge
	return true
}
