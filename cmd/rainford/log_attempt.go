package main

import (
	"fmt"
	"io"
)

// slowConnectMs is the time from which on the wait for a connection is named, in milliseconds. A round trip takes
// up to 120 ms between regions.
const slowConnectMs = 150

// logAttempt is one attempt to run a request at a target.
type logAttempt struct {
	Target  string  `json:"target"`
	Region  string  `json:"region"`
	Reason  string  `json:"reason"`
	Load    float64 `json:"load"`
	Outcome string  `json:"outcome"`
	Error   string  `json:"error"`
	TookMs  int64   `json:"took_ms"`
	// ConnectMs is how long the request waited for a new connection.
	ConnectMs int64 `json:"connect_ms"`
	// Helper is the instance that the request was handed over to, and HelperReason why it did
	// not return a response of a target.
	Helper       string `json:"helper"`
	HelperReason string `json:"helper_reason"`
	// Reused is set if the connection was open before the request arrived.
	Reused bool `json:"reused"`
	// Hedge is set if the attempt was sent because the first one had no complete response for
	// HedgeAfterMs, and Outpaced if it was ended because the other one was answered first.
	Hedge        bool  `json:"hedge"`
	HedgeAfterMs int64 `json:"hedge_after_ms"`
	Outpaced     bool  `json:"outpaced"`
	// Surplus is the number of responses from the target that were skipped because they belong to
	// no request in progress.
	Surplus int `json:"surplus"`
	// Leaves, RestMs and Limit are the notices in the target's response: that it is leaving,
	// the requested back-off, and its rate limit. Limit is nil if the target announced none.
	Leaves bool  `json:"leaves"`
	RestMs int64 `json:"rest_ms"`
	// Limit is in requests per second, for all instances together.
	Limit *float64 `json:"limit_per_s"`
}

// print writes the attempt with its number.
func (t *logAttempt) print(w io.Writer, number int) {
	if t.Helper != "" {
		fmt.Fprintf(w, "  attempt %d: handed over to %s, target %q: %s after %d ms %s %s\n",
			number, t.Helper, t.Target, t.Outcome, t.TookMs, t.HelperReason, t.Error)
		return
	}
	fmt.Fprintf(w, "  attempt %d: target %s in %s (%s, load %.2f): %s after %d ms %s\n",
		number, t.Target, t.Region, t.Reason, t.Load, t.Outcome, t.TookMs, t.Error)
	if t.Hedge {
		fmt.Fprintf(w, "    a hedge: the first attempt had no complete response after %d ms, longer than nearly all attempts of the route take\n", t.HedgeAfterMs)
	}
	if t.Outpaced {
		fmt.Fprintln(w, "    given up, since the other attempt was answered first")
	}
	if t.ConnectMs >= slowConnectMs {
		fmt.Fprintf(w, "    the request waited %d ms for a connection to the target\n", t.ConnectMs)
	}
	if t.Surplus > 0 {
		fmt.Fprintf(w, "    %d responses to earlier requests were skipped: the target sends some twice, or late\n", t.Surplus)
	}
	t.printNotices(w)
}

// printNotices prints the notices about itself that the target sent in its response.
func (t *logAttempt) printNotices(w io.Writer) {
	if t.Leaves {
		fmt.Fprintln(w, "    the target said that it leaves")
	}
	if t.RestMs > 0 {
		fmt.Fprintf(w, "    the target asked for %d ms of rest\n", t.RestMs)
	}
	if t.Limit != nil {
		fmt.Fprintf(w, "    the target takes %g requests a second from all instances together\n", *t.Limit)
	}
}
