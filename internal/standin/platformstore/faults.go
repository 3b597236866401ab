package platformstore

import (
	"sync"
	"time"
)

// Faults are the failures that the stand-in shows. The zero value shows none.
type Faults struct {
	// Down refuses every call before it has an effect.
	Down bool `json:"down"`
	// Delay holds every call back before it has an effect.
	Delay time.Duration `json:"delay"`
	// LoseReplies lets the next n writes take effect and breaks the
	// connection in place of an answer.
	LoseReplies int `json:"lose_replies"`
	// StaleReads answers a get with the value before the last write, and a
	// watch with such values besides the new ones.
	StaleReads bool `json:"stale_reads"`
}

// Limits are the calls that the service takes in a second; 0 is no limit.
type Limits struct {
	Writes int
	Reads  int
}

// DefaultLimits are the rates of the platform that the users run.
var DefaultLimits = Limits{Writes: 100, Reads: 2000}

// Counts are the calls taken and refused since the start.
type Counts struct {
	Reads     int64 `json:"reads"`
	Watches   int64 `json:"watches"`
	Writes    int64 `json:"writes"`
	Conflicts int64 `json:"conflicts"`
	Limited   int64 `json:"limited"`
}

// rateLimiter counts the calls of the running second against a limit.
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
