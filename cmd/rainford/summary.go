package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"time"
)

// summary counts late, failed and refused requests by service, region and interval of time,
// from the request lines of the logs of several instances.
type summary struct {
	interval   time.Duration
	lines      []logLine
	unreadable int
	// noRoute counts requests that match no route. Such requests are probes for the
	// configuration that is in force, or mistakes of clients.
	noRoute int
}

// reasonNoRoute is the reason in the log line of a request that matches no route.
const reasonNoRoute = "no-route"

// rowKey identifies a row of the summary. The field at is the start of the interval in which
// the requests began. The region is that of the last target that a request was sent to, or
// empty if it was sent to none.
type rowKey struct {
	at      time.Time
	service string
	region  string
}

// summaryRow counts the requests and attempts of one row. A request that took longer than the
// target latency of its route is late.
type summaryRow struct {
	requests, late, failed int
	refused                map[string]int
	// firstChoice counts the attempts at the preferred target of a key, and newConnections
	// counts the attempts on a new connection. The field load is the sum of the targets'
	// loads, in requests in flight per slot.
	attempts, firstChoice, newConnections int
	load                                  float64
	tookMs                                []int64
	targets                               map[string]*targetUse
}

// targetUse is the total time of the attempts at one target in a row, in milliseconds, and the
// set of objects that were requested from it. An object is identified by its route and key.
type targetUse struct {
	busyMs  int64
	objects map[string]bool
}

// read appends the request lines of a log. It ignores the text before the first brace of a
// line, because log collectors insert a prefix there.
func (s *summary) read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLine)
	for scanner.Scan() {
		_, text, found := strings.Cut(scanner.Text(), "{")
		if !found || !strings.Contains(text, `"msg":"request"`) {
			continue
		}
		var l logLine
		err := json.Unmarshal([]byte("{"+text), &l)
		if err != nil {
			s.unreadable++
			continue
		}
		if l.Reason == reasonNoRoute {
			s.noRoute++
			continue
		}
		s.lines = append(s.lines, l)
	}
	return scanner.Err()
}

// rows groups the lines into rows.
func (s *summary) rows() map[rowKey]*summaryRow {
	out := make(map[rowKey]*summaryRow)
	for _, l := range s.lines {
		began := l.Time.Add(-time.Duration(l.TookMs) * time.Millisecond)
		key := rowKey{at: began.Truncate(s.interval), service: l.Service}
		if n := len(l.Attempts); n > 0 {
			key.region = l.Attempts[n-1].Region
		}
		row := out[key]
		if row == nil {
			row = &summaryRow{refused: make(map[string]int), targets: make(map[string]*targetUse)}
			out[key] = row
		}
		row.add(l)
	}
	return out
}

// add adds a line on a request. A request that was handed over has a line at each of two instances: the
// line at the instance that received it from its client counts as a request, and that at the other one
// as attempts.
func (row *summaryRow) add(l logLine) {
	if l.HandedOverBy == "" {
		row.addRequest(l)
	}
	for _, a := range l.Attempts {
		if a.Helper == "" {
			row.attempt(l, a)
		}
	}
}

func (row *summaryRow) addRequest(l logLine) {
	row.requests++
	row.tookMs = append(row.tookMs, l.TookMs)
	switch {
	case l.Status == http.StatusServiceUnavailable:
		row.refused[l.Reason]++
	case l.Status/100 != 2:
		row.failed++
	case l.ObjectiveMs > 0 && l.TookMs > l.ObjectiveMs:
		row.late++
	}
}

func (row *summaryRow) attempt(l logLine, a logAttempt) {
	row.attempts++
	row.load += a.Load
	if a.Reason == "first-choice" {
		row.firstChoice++
	}
	if !a.Reused {
		row.newConnections++
	}
	t := row.targets[a.Target]
	if t == nil {
		t = &targetUse{objects: make(map[string]bool)}
		row.targets[a.Target] = t
	}
	t.busyMs += a.TookMs
	t.objects[l.Route+"/"+l.Key] = true
}

// print writes one line for each row. The table of printObjects follows.
func (s *summary) print(w io.Writer) {
	rows := s.rows()
	keys := make([]rowKey, 0, len(rows))
	for key := range rows {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool {
		a, b := keys[i], keys[j]
		switch {
		case a.service != b.service:
			return a.service < b.service
		case !a.at.Equal(b.at):
			return a.at.Before(b.at)
		default:
			return a.region < b.region
		}
	})
	fmt.Fprintln(w, "service at region requests late failed refused p50_ms in_flight/slot busiest/median objects/target first fresh")
	for _, key := range keys {
		row := rows[key]
		fmt.Fprintf(w, "%s %s %s %d %d %d %s %d %s\n", orDash(key.service), key.at.Format("15:04:05"), orDash(key.region),
			row.requests, row.late, row.failed, row.refusals(), median(row.tookMs), row.attemptsText())
	}
	s.printObjects(w)
	if s.noRoute > 0 {
		fmt.Fprintf(w, "%d requests without a route left out\n", s.noRoute)
	}
	if s.unreadable > 0 {
		fmt.Fprintf(w, "%d lines could not be read\n", s.unreadable)
	}
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// refusals formats the number of refused requests for each reason.
func (row *summaryRow) refusals() string {
	var parts []string
	for reason, n := range row.refused {
		parts = append(parts, fmt.Sprintf("%s=%d", reason, n))
	}
	sort.Strings(parts)
	return orDash(strings.Join(parts, ","))
}

// attemptsText formats the columns on attempts: the mean load of the targets, the busy time of
// the busiest target relative to the median, the mean number of objects per target, and the
// fractions of attempts at the first choice and on a new connection.
func (row *summaryRow) attemptsText() string {
	if row.attempts == 0 {
		return "- - - - -"
	}
	busy := make([]int64, 0, len(row.targets))
	most, objects := int64(0), 0
	for _, t := range row.targets {
		busy = append(busy, t.busyMs)
		most = max(most, t.busyMs)
		objects += len(t.objects)
	}
	n := float64(row.attempts)
	return fmt.Sprintf("%.2f %.1f %.1f %.2f %.2f", row.load/n, float64(most)/float64(max(median(busy), 1)),
		float64(objects)/float64(len(row.targets)), float64(row.firstChoice)/n, float64(row.newConnections)/n)
}

// median sorts values and returns their median, or 0 if there are none.
func median(values []int64) int64 {
	if len(values) == 0 {
		return 0
	}
	sort.Slice(values, func(i, j int) bool { return values[i] < values[j] })
	return values[len(values)/2]
}

// reuseBounds holds the exclusive upper bounds of the classes of reuse distance. The reuse
// distance of an object is the number of other objects that were requested from the target
// since the last request for this object. The bounds cover the cache of a target, which
// typically holds a few dozen objects.
var reuseBounds = []int{8, 16, 32, 64}

// printObjects writes the median time of successful attempts for each class of reuse
// distance. The distance at which the time increases shows how many objects a target caches.
func (s *summary) printObjects(w io.Writer) {
	fmt.Fprintln(w, "service objects_since_last_seen attempts p50_ms")
	sort.SliceStable(s.lines, func(i, j int) bool { return s.lines[i].Time.Before(s.lines[j].Time) })
	recent := make(map[string][]string)
	classes := make(map[string][]int64)
	for _, l := range s.lines {
		for _, a := range l.Attempts {
			var since int
			recent[a.Target], since = moveToEnd(recent[a.Target], l.Route+"/"+l.Key)
			if a.Outcome == "ran" {
				class := l.Service + " " + reuseClass(since)
				classes[class] = append(classes[class], a.TookMs)
			}
		}
	}
	names := make([]string, 0, len(classes))
	for name := range classes {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(w, "%s %d %d\n", name, len(classes[name]), median(classes[name]))
	}
}

// moveToEnd moves object to the end of recent, the objects of a target in the order of their
// last requests. It returns the new list and the reuse distance of object, which is -1 if
// recent did not contain it.
func moveToEnd(recent []string, object string) ([]string, int) {
	for i := len(recent) - 1; i >= 0; i-- {
		if recent[i] == object {
			since := len(recent) - 1 - i
			return append(append(recent[:i:i], recent[i+1:]...), object), since
		}
	}
	return append(recent, object), -1
}

// reuseClass returns the name of the class of a reuse distance. A distance below 0 stands for
// an object that was not requested from the target before.
func reuseClass(since int) string {
	if since < 0 {
		return "never-seen"
	}
	for _, bound := range reuseBounds {
		if since < bound {
			return fmt.Sprintf("under-%03d", bound)
		}
	}
	return fmt.Sprintf("over-%03d", reuseBounds[len(reuseBounds)-1])
}
