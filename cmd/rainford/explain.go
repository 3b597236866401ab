package main

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// explainWindow is the time before the end of a request in which changes of state are taken
// for possible reasons of its result.
const explainWindow = 15 * time.Second

// maxLine is the maximum length of a log line, in bytes. Reading a log stops at a longer line.
const maxLine = 4 << 20

// logLine is one line of an instance's log. Only the fields that explain and its summary
// use are decoded.
type logLine struct {
	Time      time.Time `json:"time"`
	Level     string    `json:"level"`
	Message   string    `json:"msg"`
	Instance  string    `json:"instance"`
	RequestID string    `json:"request_id"`
	Account   string    `json:"account"`
	Route     string    `json:"route"`
	Service   string    `json:"service"`
	Config    int64     `json:"config"`
	Status    int       `json:"status"`
	Reason    string    `json:"reason"`
	TookMs    int64     `json:"took_ms"`
	BudgetMs  int64     `json:"budget_ms"`
	// ObjectiveMs is the target latency of the route, in milliseconds.
	ObjectiveMs int64        `json:"objective_ms"`
	Key         string       `json:"key"`
	NewsAgeMs   int64        `json:"news_age_ms"`
	Attempts    []logAttempt `json:"attempts"`
	Target      string       `json:"target"`
	// HandedOverBy is the instance that has handed the request over to that of the line.
	HandedOverBy string `json:"handed_over_by"`
	// Content is the digest of a request's content, which is the same for all requests that
	// are alike. Contents holds the digests of several requests. HeldAs is the digest of the
	// quarantined client account because of which a request was held.
	Content  string   `json:"content"`
	Contents []string `json:"contents"`
	HeldAs   string   `json:"held_as"`
	// Belief is the state that an instance assigned to a target.
	Belief string `json:"belief"`

	// The following fields are logged for requests of client accounts with a rate limit.
	// PermitMs is the time that the request waited for a permit. The other fields are only
	// logged for requests that did not get one.
	PermitMs     *int64  `json:"permit_ms"`
	LimitOwner   string  `json:"limit_owner"`
	SentPerS     float64 `json:"sent_per_s"`
	PermitsPerS  float64 `json:"permits_per_s"`
	RetryAfterMs int64   `json:"retry_after_ms"`

	raw string
}

// explanation collects the log lines that explain the result of one request. Requests holds
// the lines on the request itself, and Beliefs those on changes of state that may have
// caused its result.
type explanation struct {
	RequestID string            `json:"request_id"`
	Verdict   string            `json:"verdict"`
	Requests  []json.RawMessage `json:"requests"`
	Beliefs   []json.RawMessage `json:"beliefs"`
	Lines     int               `json:"lines"`
	BadLines  int               `json:"bad_lines"`

	requests, stateChanges []logLine
}

func (a *app) explainCommand() *ffcli.Command {
	fs := flag.NewFlagSet("rainford explain", flag.ContinueOnError)
	asJSON := fs.Bool("json", false, "print one JSON object")
	showSummary := fs.Bool("summary", false, "tell of all requests: where and when they were late or refused")
	interval := fs.Duration("every", 2*time.Second, "span of time of a row of the summary")
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "rainford explain [-json] REQUEST-ID FILE… | -summary [-every 2s] FILE…",
		ShortHelp:  "tell from the instances' logs what became of a request, and why",
		LongHelp:   "FILE is a log, plain or gzip, or - for standard input.",
		FlagSet:    fs,
		Exec: func(_ context.Context, args []string) error {
			if *showSummary {
				return a.summarize(args, *interval)
			}
			if len(args) < 2 {
				return usagef("explain takes a request ID and at least one file")
			}
			s, err := a.readExplanation(args[0], args[1:])
			if err != nil {
				return err
			}
			if *asJSON {
				return json.NewEncoder(a.stdout).Encode(s)
			}
			s.print(a.stdout)
			return nil
		},
	}
}

// summarize prints the summary of all requests in the files. A row of the summary covers
// the given interval.
func (a *app) summarize(files []string, interval time.Duration) error {
	if len(files) == 0 || interval <= 0 {
		return usagef("explain -summary takes at least one file and needs -every above 0")
	}
	s := summary{interval: interval}
	for _, name := range files {
		r, err := a.openLog(name)
		if err != nil {
			return err
		}
		err = s.read(r)
		_ = r.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	s.print(a.stdout)
	return nil
}

// readExplanation reads all log files into memory. It then selects the lines on the request
// and the lines on preceding changes of state that may have caused its result.
func (a *app) readExplanation(id string, files []string) (*explanation, error) {
	s := &explanation{RequestID: id}
	var lines []logLine
	for _, name := range files {
		r, err := a.openLog(name)
		if err != nil {
			return nil, err
		}
		lines = s.scan(r, lines)
		_ = r.Close()
	}
	s.selectLines(lines)
	s.Verdict = formatVerdict(s.requests)
	return s, nil
}

// openLog opens a log and decompresses it if it begins with the magic number of gzip. The
// name - stands for standard input.
func (a *app) openLog(name string) (io.ReadCloser, error) {
	var r io.Reader = a.stdin
	var closer io.Closer = io.NopCloser(nil)
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		r, closer = f, f
	}
	buffered := bufio.NewReader(r)
	head, err := buffered.Peek(2)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if !bytes.Equal(head, []byte{0x1f, 0x8b}) {
		return readCloser{buffered, closer}, nil
	}
	unpacked, err := gzip.NewReader(buffered)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return readCloser{unpacked, closer}, nil
}

// readCloser reads from one object and closes another.
type readCloser struct {
	io.Reader
	io.Closer
}

// scan appends the log lines of r to lines, without those of other requests. It counts the
// lines that cannot be decoded.
func (s *explanation) scan(r io.Reader, lines []logLine) []logLine {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLine)
	for scanner.Scan() {
		text := strings.TrimSpace(scanner.Text())
		if text == "" {
			continue
		}
		s.Lines++
		var l logLine
		err := json.Unmarshal([]byte(text), &l)
		if err != nil || l.Message == "" {
			s.BadLines++
			continue
		}
		if l.RequestID != "" && l.RequestID != s.RequestID {
			continue
		}
		l.raw = text
		lines = append(lines, l)
	}
	if scanner.Err() != nil {
		s.BadLines++
	}
	return lines
}

// selectLines selects, in the order of time, the lines on the request and those on changes
// of state that may have caused its result.
func (s *explanation) selectLines(lines []logLine) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time.Before(lines[j].Time) })
	for _, l := range lines {
		if l.RequestID == s.RequestID {
			s.requests = append(s.requests, l)
			s.Requests = append(s.Requests, json.RawMessage(l.raw))
		}
	}
	for _, l := range lines {
		if l.RequestID == "" && s.mayExplain(l) {
			s.stateChanges = append(s.stateChanges, l)
			s.Beliefs = append(s.Beliefs, json.RawMessage(l.raw))
		}
	}
}

// mayExplain reports whether the change of state in l may have caused the result of the
// request. Such a line comes from an instance that handled the request, was logged within
// explainWindow before the request ended, and concerns one of the request's targets or no
// target at all. A line on the shares of regions concerns one service. For a request that found no target, it may also concern another target, see
// explainsNoTarget. A line on requests with the same content may come from any instance and
// any earlier time, because instances gossip crash records and keep them for a long time.
func (s *explanation) mayExplain(l logLine) bool {
	for _, r := range s.requests {
		if l.sharesContent(r) {
			return !l.Time.After(r.Time)
		}
		if l.Content != "" || len(l.Contents) > 0 {
			continue
		}
		if l.Instance != r.Instance || l.Time.After(r.Time) || r.Time.Sub(l.Time) > explainWindow {
			continue
		}
		if l.Message == sharesMessage && l.Service != r.Service {
			continue
		}
		if l.Target == "" || l.explainsNoTarget(r) {
			return true
		}
		for _, attempt := range r.Attempts {
			if attempt.Target == l.Target {
				return true
			}
		}
	}
	return false
}

// sharesMessage is the message of log lines on the division of a service's requests between regions.
const sharesMessage = "shares"

// sharesContent reports whether l is about requests with the content of request r, or about
// the quarantined client account because of which r was held.
func (l logLine) sharesContent(r logLine) bool {
	if r.HeldAs != "" && l.Content == r.HeldAs {
		return true
	}
	return r.Content != "" && (l.Content == r.Content || slices.Contains(l.Contents, r.Content))
}

// explainsNoTarget reports whether l records that a target is leaving or requested a
// back-off, and r is a request that found no target. The request made no attempt at that
// target, so that its own line does not name it.
func (l logLine) explainsNoTarget(r logLine) bool {
	found := r.Reason != reasonNoTarget && r.Reason != reasonTargetsBackOff
	return !found && (l.Belief == "resting" || l.Belief == "leaving")
}

// Reasons in log lines of requests that found no target.
const (
	reasonNoTarget       = "no-target"
	reasonTargetsBackOff = "targets-rest"
)

// print writes the explanation as text.
func (s *explanation) print(w io.Writer) {
	fmt.Fprintf(w, "request %s: %s\n", s.RequestID, s.Verdict)
	for _, r := range s.requests {
		fmt.Fprintf(w, "%s %s: route %s, service %s, configuration %d, news %d ms old, %d of %d ms\n",
			r.Time.Format(time.RFC3339Nano), r.Instance, r.Route, r.Service, r.Config, r.NewsAgeMs, r.TookMs, r.BudgetMs)
		if r.HandedOverBy != "" {
			fmt.Fprintf(w, "  handed over by %s\n", r.HandedOverBy)
		}
		for i, t := range r.Attempts {
			t.print(w, i+1)
		}
		r.printAccount(w)
		fmt.Fprintf(w, "  answer %d: %s\n", r.Status, r.Reason)
	}
	if len(s.stateChanges) > 0 {
		fmt.Fprintln(w, "what the instance came to believe before:")
	}
	for _, l := range s.stateChanges {
		fmt.Fprintf(w, "  %s\n", l.raw)
	}
	if s.BadLines > 0 {
		fmt.Fprintf(w, "%d of %d lines could not be read\n", s.BadLines, s.Lines)
	}
}

// printAccount prints the client account and its rate limit, if the line names them.
func (l *logLine) printAccount(w io.Writer) {
	if l.Account != "" {
		fmt.Fprintf(w, "  account %s", l.Account)
		if l.PermitMs != nil {
			fmt.Fprintf(w, ", waited %d ms for a permit", *l.PermitMs)
		}
		fmt.Fprintln(w)
	}
	if l.LimitOwner != "" {
		fmt.Fprintf(w, "  limit: %s was asked last; this instance got %.1f permits a second for %.1f requests a second; told to come back after %d ms\n",
			l.LimitOwner, l.PermitsPerS, l.SentPerS, l.RetryAfterMs)
	}
}

// reasonTexts holds an explanation for each reason of a final response.
var reasonTexts = map[string]string{
	"answered":             "a target answered",
	"client-left":          "the client left before there was an answer",
	"no-route":             "no route of the configuration has the host and path",
	"no-configuration":     "the instance had no configuration yet; it did not run",
	"stopping":             "the instance was stopping; it did not run",
	reasonNoTarget:         "no target could be used; it did not run",
	reasonTargetsBackOff:   "all its targets have asked for rest; it did not run",
	"false-promise":        "the target's refusal did not say that it has not run; it may have run and must not be repeated",
	"targets-full":         "the targets of its key were full for as long as it could wait; it did not run",
	"queue-full":           "too many requests were waiting; it did not run",
	"too-late":             "too little time was left to run it; it did not run",
	"late-not-run":         "a target did not run it in time",
	"no-budget":            "the budget of repeats was used up",
	"no-attempt-left":      "every attempt that the route allows was made",
	"timeout":              "its time ended while a target had it; it may have run",
	"unknown-outcome":      "the connection or the answer broke after it was sent; it may have run and must not be repeated",
	"head-too-large":       "its head is larger than the limits allow",
	"body-too-large":       "its body is larger than the limits allow",
	"body-late":            "its body did not arrive in time; it did not run",
	"body-broken":          "its body broke off; it did not run",
	"no-key":               "it carried no key, or several, and its route needs one; it did not run",
	"unknown-key":          "no account of the configuration has its key; it did not run",
	"key-taken":            "its key was taken away while it waited; it was not sent from then on",
	"no-common-home":       "its route and its account have no home region in common; it did not run",
	"over-limit":           "its account was beyond its limit; it did not run",
	"ends-targets":         "targets end under this request wherever it runs: it was held back, or not sent to another one",
	"account-ends-targets": "targets end under different requests of its account, and it was not answered before: it was held back",
	"targets-lost":         "the instance reached no target, and no other one that may run it took it; it did not run",
	"targets-unreachable":  "the instance reached none of its targets; it did not run",
	"helper-full":          "the instance that it was handed over to had no room for it; it did not run",
	"no-limit-owner":       "no instance that keeps its account's limit could be asked; it did not run",
}

// formatVerdict returns the status and the reason of the last line of a request.
func formatVerdict(requests []logLine) string {
	if len(requests) == 0 {
		return "no line: thinned out (see lines of \"log lines dropped\"), another instance's, or never arrived"
	}
	last := requests[len(requests)-1]
	text, ok := reasonTexts[last.Reason]
	if !ok {
		text = last.Reason
	}
	return fmt.Sprintf("%d, %s", last.Status, text)
}
