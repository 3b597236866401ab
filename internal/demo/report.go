package demo

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/rainford/rainford/internal/load"
	"github.com/rainford/rainford/table"
)

// Report is the result of Run.
type Report struct {
	Rows     []RowReport     `json:"rows"`
	Services []ServiceReport `json:"services"`
	Drain    DrainReport     `json:"drain"`
	Config   ConfigReport    `json:"config"`
	// Broken lists the invariants that were violated.
	Broken []string `json:"broken"`
}

// RowReport describes the requests that were admitted to one row of the routing table.
type RowReport struct {
	Service string `json:"service"`
	From    string `json:"from"`
	To      string `json:"to"`
	Weight  int    `json:"weight"`
	// Cap is -1 for a row without a cap.
	Cap int `json:"cap"`
	// Share is the percentage of the requests for Service from From that were
	// admitted to this row.
	Share float64 `json:"share"`
	// Carried is the number of requests that were admitted to the row, and
	// WorstWindow the largest number in any sliding window of table.CapWindow.
	Carried     int `json:"carried"`
	WorstWindow int `json:"worst_window"`
	// limit is the cap that WorstWindow must not exceed.
	limit int
}

// ServiceReport counts the requests for one service by outcome.
type ServiceReport struct {
	Service   string  `json:"service"`
	Requests  int64   `json:"requests"`
	OK        int64   `json:"ok"`
	NotRun    int64   `json:"not_run"`
	Unknown   int64   `json:"unknown"`
	P50Ms     float64 `json:"p50_ms"`
	P99Ms     float64 `json:"p99_ms"`
	RunTwice  int     `json:"run_twice"`
	Truncated int64   `json:"truncated"`
	// Skipped counts the requests that the load generator didn't send because too many
	// were in flight.
	Skipped int64 `json:"skipped"`
}

// DrainReport describes the drain of a region: the time until its targets started their
// last request, and the number of requests that were cut off.
type DrainReport struct {
	Region           string  `json:"region"`
	SecondsToLastNew float64 `json:"seconds_to_last_new"`
	CutRequests      int64   `json:"cut_requests"`
}

// ConfigReport gives the number of changes to the routing table and the longest time
// until one of them was in force at every instance.
type ConfigReport struct {
	Changes               int     `json:"changes"`
	WorstSecondsToInForce float64 `json:"worst_seconds_to_in_force"`
}

const (
	// maxDrainSeconds is the time after which the targets of a drained region must
	// receive no new requests.
	maxDrainSeconds = 10
	// maxInForceSeconds is the time within which a change must be in force at every
	// instance.
	maxInForceSeconds = 14
)

// check sets Broken to the invariants that the figures of the report violate.
func (r *Report) check() {
	r.Broken = []string{}
	add := func(format string, args ...any) { r.Broken = append(r.Broken, fmt.Sprintf(format, args...)) }
	for _, row := range r.Rows {
		if row.limit != table.NoCap && row.WorstWindow > row.limit {
			add("cap: %s %s>%s had %d in a window, cap %d", row.Service, row.From, row.To, row.WorstWindow, row.limit)
		}
	}
	for _, s := range r.Services {
		if s.RunTwice > 0 {
			add("at most once: %d operations of %s ran twice", s.RunTwice, s.Service)
		}
		if s.Truncated > 0 {
			add("whole answers: %d of %s were wrong", s.Truncated, s.Service)
		}
	}
	if r.Drain.CutRequests > 0 {
		add("drain: %d requests were cut", r.Drain.CutRequests)
	}
	if r.Drain.SecondsToLastNew > maxDrainSeconds {
		add("drain: new work for %.1f s", r.Drain.SecondsToLastNew)
	}
	if r.Config.WorstSecondsToInForce > maxInForceSeconds {
		add("configuration: %.1f s until in force", r.Config.WorstSecondsToInForce)
	}
}

// Print writes the report as tables.
func (r *Report) Print(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 2, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "service\tfrom\tto\tweight\tshare %\tcarried\tcap\tworst 1 s\t")
	for _, row := range r.Rows {
		limit := "none"
		if row.Cap != table.NoCap {
			limit = fmt.Sprint(row.Cap)
		}
		fmt.Fprintf(tw, "%s\t%s\t%s\t%d\t%.1f\t%d\t%s\t%d\t\n", row.Service, row.From, row.To, row.Weight, row.Share, row.Carried, limit, row.WorstWindow)
	}
	fmt.Fprintln(tw)
	fmt.Fprintln(tw, "service\trequests\tok\tnot run\tunknown\tp50 ms\tp99 ms\trun twice\ttruncated\t")
	for _, s := range r.Services {
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%d\t%d\t\n", s.Service, s.Requests, s.OK, s.NotRun, s.Unknown, s.P50Ms, s.P99Ms, s.RunTwice, s.Truncated)
	}
	err := tw.Flush()
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	fmt.Fprintf(w, "\ndrain of %s: last new request after %.2f s, %d cut\n", r.Drain.Region, r.Drain.SecondsToLastNew, r.Drain.CutRequests)
	fmt.Fprintf(w, "configuration: %d changes, worst %.2f s until in force everywhere\n", r.Config.Changes, r.Config.WorstSecondsToInForce)
	for _, b := range r.Broken {
		fmt.Fprintf(w, "BROKEN %s\n", b)
	}
	return nil
}

// serviceReport converts the statistics of the load generator for one service.
func serviceReport(name string, st *load.Stats, runTwice int) ServiceReport {
	const micros = 1000
	return ServiceReport{
		Service:   name,
		Requests:  st.Requests,
		OK:        st.OK,
		NotRun:    st.NotRun,
		Unknown:   st.Unknown,
		P50Ms:     float64(st.Latency.ValueAtQuantile(50)) / micros,
		P99Ms:     float64(st.Latency.ValueAtQuantile(99)) / micros,
		RunTwice:  runTwice,
		Truncated: st.Corrupt,
		Skipped:   st.Skipped,
	}
}

// rowReports returns a report for each row of t. For a row in caps, windows after the
// lowered cap came into force are compared with that cap, and all windows with the cap
// before.
func rowReports(t *table.Table, flow *AdmissionLog, caps map[table.RowKey]loweredCap) []RowReport {
	sums := make(map[[2]string]int)
	for _, row := range t.Rows {
		sums[[2]string{row.Service, row.From}] += flow.Count(row.Key())
	}
	var out []RowReport
	for _, row := range t.Rows {
		r := RowReport{
			Service:     row.Service,
			From:        row.From,
			To:          row.To,
			Weight:      row.Weight,
			Cap:         row.Cap,
			Carried:     flow.Count(row.Key()),
			WorstWindow: flow.MaxPerWindow(row.Key(), time.Time{}),
			limit:       row.Cap,
		}
		if span, ok := caps[row.Key()]; ok {
			r.limit = span.before
			if flow.MaxPerWindow(row.Key(), span.lowered) > row.Cap {
				// The lowered cap was exceeded: report the windows after the change.
				r.limit = row.Cap
				r.WorstWindow = flow.MaxPerWindow(row.Key(), span.lowered)
			}
		}
		if sum := sums[[2]string{row.Service, row.From}]; sum > 0 {
			r.Share = 100 * float64(r.Carried) / float64(sum)
		}
		out = append(out, r)
	}
	return out
}

// loweredCap describes a cap that was lowered during the run: the cap before the
// change, and the time one window after the lower cap came into force at every instance.
type loweredCap struct {
	before  int
	lowered time.Time
}
