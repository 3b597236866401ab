package forward

import (
	"context"
	"sync"
	"time"
)

const (
	// slowDial is the dial time from which on a spare connection to a target is kept. A
	// dial takes one to three milliseconds within a region, and forty or more between
	// regions, which are added to the latency of a request that has to wait for it.
	slowDial = 10 * time.Millisecond
	// minIdleConns is the number of idle connections to a distant target below which a
	// request opens a spare one.
	minIdleConns = 2
	// spareUseWindow is the maximum time since the previous request to a target for a spare
	// connection to be opened. A target with less frequent requests would probably close
	// the connection unused.
	spareUseWindow = time.Second
	// spareStateTTL is how long the state of a target without requests is kept.
	spareStateTTL = time.Minute
)

// sparePolicy decides for which targets a spare connection is opened before it is needed.
// It is safe for concurrent use.
type sparePolicy struct {
	// slowDial is the constant slowDial, or less in tests.
	slowDial time.Duration

	mu      sync.Mutex
	targets map[string]*spareState
}

// spareState is the state of one target: the time of its last request, its last dial time,
// and whether a spare connection is being opened.
type spareState struct {
	lastUsed time.Time
	dialTime time.Duration
	opening  bool
}

// state returns the state of a target, which it creates if there is none. The caller holds
// mu.
func (s *sparePolicy) state(target string) *spareState {
	state := s.targets[target]
	if state == nil {
		state = &spareState{}
		s.targets[target] = state
	}
	return state
}

// recordDial records the time that it took to open a connection.
func (s *sparePolicy) recordDial(target string, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state(target).dialTime = took
}

// startOpening records a request to a target with fewer than minIdleConns idle connections.
// It reports whether a spare one should be opened. If so, finishOpening must be called
// afterwards.
func (s *sparePolicy) startOpening(now time.Time, target string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.state(target)
	recent := now.Sub(state.lastUsed) < spareUseWindow
	state.lastUsed = now
	if state.opening || !recent || state.dialTime < s.slowDial {
		return false
	}
	state.opening = true
	return true
}

// finishOpening records that a spare connection is no longer being opened.
func (s *sparePolicy) finishOpening(target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state(target).opening = false
}

// expire drops the state of targets that have had no request for spareStateTTL.
func (s *sparePolicy) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for target, state := range s.targets {
		if !state.opening && now.Sub(state.lastUsed) >= spareStateTTL {
			delete(s.targets, target)
		}
	}
}

// Preconnect opens a connection to a target and keeps it for a later request. It gives up after the
// time-out, or after maxDialTime if that is shorter.
func (c *Client) Preconnect(target, addr string, timeout time.Duration) error {
	cn, err := c.dial(context.Background(), addr, min(timeout, maxDialTime))
	if err != nil {
		return err
	}
	c.idle.release(endpointKey(target, addr), cn)
	return nil
}

// openSpare opens a spare connection to a target.
func (c *Client) openSpare(target, addr string) {
	defer c.spares.finishOpening(target)
	// If this fails, the next request to the target dials itself and reports the error.
	_ = c.Preconnect(target, addr, maxDialTime)
}
