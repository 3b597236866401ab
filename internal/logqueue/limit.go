package logqueue

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// Limit is a rate limit for the lines of one message. Lines with any other message are not limited.
type Limit struct {
	Message string
	// PerSecond is the number of lines that are passed on in each second. Lines of level INFO and
	// below report ordinary successes. They are passed on only while fewer than half of this
	// number have been, so that they cannot crowd out the lines that report failures.
	PerSecond int
}

// Handler is a slog.Handler that limits the rate of one message. It counts the lines that it drops.
// Before the first line of that message in a later second, it logs the counts in a line of level
// WARN with the message DroppedMessage.
type Handler struct {
	slog.Handler
	state *limitState
}

// limitState counts the lines of the current second. Handlers that WithAttrs and WithGroup derive
// share it.
type limitState struct {
	limit Limit

	mu sync.Mutex
	// second is the current second in Unix time.
	second          int64
	admitted        int
	droppedFailures int
	droppedOthers   int
}

// NewHandler returns a handler that passes records on to next within the given limit.
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

// DroppedMessage is the message of the lines that report how many lines were dropped.
const DroppedMessage = "log lines dropped"

// admit reports whether a line is passed on. For the first line of a second, it also returns how
// many failures and how many other lines were dropped since the previous report.
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
