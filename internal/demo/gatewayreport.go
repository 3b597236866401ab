package demo

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/rainford/rainford/ratelimit"
)

// GatewayReport is the result of RunGateways.
type GatewayReport struct {
	// Requests is the number of requests that were sent. Served counts complete
	// responses with status 200, Refused those with status 503, and Failed those with
	// any other status.
	Requests int `json:"requests"`
	Served   int `json:"served"`
	Refused  int `json:"refused"`
	Failed   int `json:"failed"`
	// TurnedAway counts the requests that exceeded the rate limit of their client
	// account (status 429), and Unreached those without a response, such as requests
	// to an instance that has ended.
	TurnedAway int `json:"turned_away"`
	Unreached  int `json:"unreached"`
	// P50 and P99 are latency percentiles of the served requests.
	P50 time.Duration `json:"p50_ns"`
	P99 time.Duration `json:"p99_ns"`
	// InForce is the time until every instance applied the new configuration, and
	// Stop the duration of the graceful shutdown.
	InForce time.Duration `json:"in_force_ns"`
	Stop    time.Duration `json:"stop_ns"`
	// KeyGone is the time until every instance rejected the revoked key.
	KeyGone time.Duration `json:"key_gone_ns"`
	// Ended is the number of targets that crashed under the request that crashes each
	// target that runs it.
	Ended int `json:"ended"`
	// Rested is the number of requests that a target refused with a back-off time.
	Rested int `json:"rested"`
	// ByHall counts the requests that reached the targets of each hall.
	ByHall map[string]int `json:"by_hall"`
	// Broken lists the invariants that were violated.
	Broken []string `json:"broken"`

	answers []clientResponse
}

// report adds the responses that the clients got to the report.
func (l *gatewayLoad) report(r *GatewayReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Broken = []string{}
	r.answers = l.answers
	var times []time.Duration
	for _, a := range l.answers {
		r.Requests++
		switch {
		case a.status == http.StatusOK && a.complete:
			r.Served++
			times = append(times, a.took)
		case a.status == http.StatusOK:
			r.Broken = append(r.Broken, a.id+" got an answer that is not its own or not whole")
		case a.status == http.StatusServiceUnavailable:
			r.Refused++
		case a.status == http.StatusTooManyRequests:
			r.TurnedAway++
		case a.status == 0:
			r.Unreached++
		default:
			r.Failed++
		}
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	if len(times) > 0 {
		r.P50, r.P99 = times[len(times)/2], times[len(times)*99/100]
	}
}

// report adds the arrivals at the targets to the report, and the violations that follow
// from them and from the clients' responses.
func (o *observer) report(r *GatewayReport, limit ratelimit.Limit) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r.ByHall = o.byHall
	for _, a := range r.answers {
		runs := o.runs[a.id]
		switch {
		case a.nonIdempotent && runs > 1:
			r.Broken = append(r.Broken, fmt.Sprintf("%s ran %d times", a.id, runs))
		case a.nonIdempotent && runs > 0 && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests):
			r.Broken = append(r.Broken, a.id+" was refused and had run")
		case runs > 0 && a.status == 0:
			r.Broken = append(r.Broken, a.id+" was cut")
		}
	}
	if o.forbiddenArrivals > 0 {
		r.Broken = append(r.Broken, fmt.Sprintf("%d requests reached targets that were to get nothing", o.forbiddenArrivals))
	}
	o.reportAccounts(r, limit)
	if r.Ended > maxCrashes {
		r.Broken = append(r.Broken, fmt.Sprintf("%d targets ended under one request", r.Ended))
	}
	if r.Served == 0 {
		r.Broken = append(r.Broken, "nothing was served")
	}
}

// Print writes the report as a table.
func (r *GatewayReport) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "requests\tserved\trefused\tturned away\tfailed\tunreached\tp50\tp99\tin force\tkey gone\tstop\tended\trested")
	fmt.Fprintf(t, "%d\t%d\t%d\t%d\t%d\t%d\t%v\t%v\t%v\t%v\t%v\t%d\t%d\n", r.Requests, r.Served, r.Refused, r.TurnedAway, r.Failed, r.Unreached,
		r.P50.Round(time.Millisecond), r.P99.Round(time.Millisecond), r.InForce.Round(time.Millisecond), r.KeyGone.Round(time.Millisecond), r.Stop.Round(time.Millisecond), r.Ended, r.Rested)
	fmt.Fprintln(t, "\nhall\tarrivals")
	halls := make([]string, 0, len(r.ByHall))
	for hall := range r.ByHall {
		halls = append(halls, hall)
	}
	sort.Strings(halls)
	for _, hall := range halls {
		fmt.Fprintf(t, "%s\t%d\n", hall, r.ByHall[hall])
	}
	for _, broken := range r.Broken {
		fmt.Fprintln(t, "broken:", broken)
	}
	return t.Flush()
}
