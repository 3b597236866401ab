package logqueue

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// Limit bounds the lines of one message. Lines of any other message pass.
type Limit struct {
	Message string
	// PerSecond is the number of lines that pass in a second. Lines of level
	// INFO and below, which tell of ordinary successes, may use half of them,
	// so that they never take the place of failures.
	PerSecond int
}

// Handler is a slog.Handler that thins out one message. What it drops it counts,
// and it tells the count once a second.
type Handler struct {
	slog.Handler
	state *limitState
}

type limitState struct {
	limit Limit

	mu              sync.Mutex
	second          int64
	admitted        int
	droppedFailures int
	droppedOthers   int
}

// NewHandler returns a handler that passes to next what the limit allows.
func NewHandler(next slog.Handler, limit Limit) *Handler {
	return &Handler{Handler: next, state: &limitState{limit: limit}}
}

// Handle implements slog.Handler.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	if r.Message != h.state.limit.Message {
		return h.Handler.Handle(ctx, r)
	}
	pass, failures, other := h.state.admit(r.Time, r.Level > slog.LevelInfo)
	if failures+other > 0 {
		summary := slog.NewRecord(r.Time, slog.LevelWarn, DroppedMessage, 0)
		summary.AddAttrs(slog.String("of", r.Message), slog.Int("failures", failures), slog.Int("others", other))
		_ = h.Handler.Handle(ctx, summary)
	}
	if !pass {
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

// DroppedMessage is the message of the line that tells how many were dropped.
const DroppedMessage = "log lines dropped"

// admit tells whether a line passes, and what an ended second has dropped.
func (s *limitState) admit(now time.Time, failure bool) (pass bool, failures, other int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if second := now.Unix(); second != s.second {
		failures, other = s.droppedFailures, s.droppedOthers
		s.second, s.admitted, s.droppedFailures, s.droppedOthers = second, 0, 0, 0
	}
	maxLines := s.limit.PerSecond
	if !failure {
		maxLines /= 2
	}
	if s.admitted < maxLines {
		s.admitted++
		return true, failures, other
	}
	if failure {
		s.droppedFailures++
	} else {
		s.droppedOthers++
	}
	return false, failures, other
}

// WithAttrs implements slog.Handler.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{Handler: h.Handler.WithAttrs(attrs), state: h.state}
}

// WithGroup implements slog.Handler.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{Handler: h.Handler.WithGroup(name), state: h.state}
}
