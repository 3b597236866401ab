package platformstore

import (
	"sync"
	"time"
)

// Faults are the simulated failures of the store. The zero value has none.
type Faults struct {
	// Down answers every request with status 503 before it has an effect.
	Down bool `json:"down"`
	// Delay delays every request before it has an effect.
	Delay time.Duration `json:"delay"`
	// LoseReplies is the number of next writes that take effect, but whose
	// connection is closed without a response.
	LoseReplies int `json:"lose_replies"`
	// StaleReads makes a get return the object as it was before its last
	// write, and a watch return such objects beside the new ones.
	StaleReads bool `json:"stale_reads"`
}

// Limits are the numbers of requests that the store accepts per second. 0 means no limit.
type Limits struct {
	Writes int
	Reads  int
}

// DefaultLimits are the rate limits of the platform that the users run.
var DefaultLimits = Limits{Writes: 100, Reads: 2000}

// Counts are the numbers of requests received since the start. Reads includes Watches. Limited counts the
// requests refused by a rate limit, and Conflicts the writes with an outdated version.
type Counts struct {
	Reads     int64 `json:"reads"`
	Watches   int64 `json:"watches"`
	Writes    int64 `json:"writes"`
	Conflicts int64 `json:"conflicts"`
	Limited   int64 `json:"limited"`
}

// rateLimiter limits the requests in each second of the clock (a fixed window).
type rateLimiter struct {
	mu     sync.Mutex
	second int64
	used   int
}

func (m *rateLimiter) allow(now time.Time, limit int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := now.Unix(); s != m.second {
		m.second = s
		m.used = 0
	}
	if limit > 0 && m.used >= limit {
		return false
	}
	m.used++
	return true
}
