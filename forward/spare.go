package forward

import (
	"context"
	"sync"
	"time"
)

const (
	// slowDial is how long it takes to open a connection to a target from which on one
	// more is kept ready: within a region it takes one to three milliseconds, between
	// regions forty and more, which a request that has to wait for it adds to its time.
	slowDial = 10 * time.Millisecond
	// minIdleConns is the number of idle connections to a far target below which one
	// more is opened with a request.
	minIdleConns = 2
	// spareUseWindow is how recently a target must have had the request before, for
	// another one to be likely before the target closes an idle connection.
	spareUseWindow = time.Second
	// spareStateTTL is when what is known of a target's connections is dropped.
	spareStateTTL = time.Minute
)

// sparePolicy decides for which targets a connection is opened ahead of need. It is safe for
// concurrent use.
type sparePolicy struct {
	// slowDial is slowDial, or less in tests.
	slowDial time.Duration

	mu      sync.Mutex
	targets map[string]*spareState
}

// spareState is what is known of the connections to one target.
type spareState struct {
	lastUsed time.Time
	dialTime time.Duration
	opening  bool
}

func (s *sparePolicy) state(target string) *spareState {
	state := s.targets[target]
	if state == nil {
		state = &spareState{}
		s.targets[target] = state
	}
	return state
}

// recordDial notes how long it took to open a connection.
func (s *sparePolicy) recordDial(target string, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state(target).dialTime = took
}

// startOpening notes a request to a target that leaves fewer than sparesAhead idle connections
// there. It reports whether one is to be opened; end has to be called once it is.
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

func (s *sparePolicy) finishOpening(target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state(target).opening = false
}

// expire forgets targets that have had no request for long.
func (s *sparePolicy) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for target, state := range s.targets {
		if !state.opening && now.Sub(state.lastUsed) >= spareStateTTL {
			delete(s.targets, target)
		}
	}
}

// Preconnect opens a connection to a target and keeps it for a request to come. Its error says
// why there is none.
func (c *Client) Preconnect(target, addr string) error {
	cn, err := dial(context.Background(), addr, maxDialTime)
	if err != nil {
		return err
	}
	c.idle.release(endpointKey(target, addr), cn)
	return nil
}

// openSpare opens a connection to a target and keeps it for a request to come.
func (c *Client) openSpare(target, addr string) {
	defer c.spares.finishOpening(target)
	// If it fails the next request to the target dials by itself and says why.
	_ = c.Preconnect(target, addr)
}
