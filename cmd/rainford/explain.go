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

// explainWindow is how long before a request's end the beliefs that may have
// decided it are looked for.
const explainWindow = 15 * time.Second

// maxLine bounds a line of a log.
const maxLine = 4 << 20

// logLine is one line of an instance's log. Only what explain uses is decoded.
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
	// ObjectiveMs is the time within which the route's answers should come.
	ObjectiveMs int64        `json:"objective_ms"`
	Key         string       `json:"key"`
	NewsAgeMs   int64        `json:"news_age_ms"`
	Attempts    []logAttempt `json:"attempts"`
	Target      string       `json:"target"`
	// Content is the same for requests that are alike; Contents are those of several, and
	// HeldAs stands for the account for which a request was held back.
	Content  string   `json:"content"`
	Contents []string `json:"contents"`
	HeldAs   string   `json:"held_as"`
	// Belief is what an instance came to believe of a target.
	Belief string `json:"belief"`

	// What follows is on lines of accounts with a limit. PermitMs is how long the
	// request waited for a permit; the others are on those that got none.
	PermitMs     *int64  `json:"permit_ms"`
	LimitOwner   string  `json:"limit_owner"`
	SentPerS     float64 `json:"sent_per_s"`
	PermitsPerS  float64 `json:"permits_per_s"`
	RetryAfterMs int64   `json:"retry_after_ms"`

	raw string
}

// logAttempt is one attempt of a request.
type logAttempt struct {
	Target  string  `json:"target"`
	Region  string  `json:"region"`
	Reason  string  `json:"reason"`
	Load    float64 `json:"load"`
	Outcome string  `json:"outcome"`
	Error   string  `json:"error"`
	TookMs  int64   `json:"took_ms"`
	// Reused says that the connection was open before the request came.
	Reused bool `json:"reused"`
	// Leaves, RestMs and Limit, nil for none, are what the target said of itself.
	Leaves bool  `json:"leaves"`
	RestMs int64 `json:"rest_ms"`
	// Limit is in requests a second.
	Limit *float64 `json:"limit_per_s"`
}

// explanation is what is known of one request.
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
	whole := fs.Bool("summary", false, "tell of all requests: where and when they were late or refused")
	every := fs.Duration("every", 2*time.Second, "span of time of a row of the summary")
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "rainford explain [-json] REQUEST-ID FILE… | -summary [-every 2s] FILE…",
		ShortHelp:  "tell from the instances' logs what became of a request, and why",
		LongHelp:   "FILE is a log, plain or gzip, or - for standard input.",
		FlagSet:    fs,
		Exec: func(_ context.Context, args []string) error {
			if *whole {
				return a.summarize(args, *every)
			}
			if len(args) < 2 {
				return usagef("want a request ID and at least one file")
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

// summarize prints the summary of logs.
func (a *app) summarize(files []string, every time.Duration) error {
	if len(files) == 0 || every <= 0 {
		return usagef("want at least one file and a span over 0")
	}
	s := summary{interval: every}
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

// readExplanation reads the logs twice over in memory: first for the request, then for
// the beliefs of the instances that it touched.
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

// openLog opens a log, unpacking gzip.
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

type readCloser struct {
	io.Reader
	io.Closer
}

// scan appends the lines of a log that may matter. Lines that are no log lines
// are counted.
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

// selectLines keeps the lines of the request, and the beliefs of the same instances that
// could have decided it.
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

// mayExplain tells whether a belief may have decided the request: it is the same
// instance's, from shortly before the request's end, and about one of its targets
// or about no target at all; or it is of requests that are alike, at any instance and at
// any time before, since what is learned of them is told to all and kept for long.
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

// sharesContent tells whether a line is about requests of the content of another line's.
func (l logLine) sharesContent(r logLine) bool {
	if r.HeldAs != "" && l.Content == r.HeldAs {
		return true
	}
	return r.Content != "" && (l.Content == r.Content || slices.Contains(l.Contents, r.Content))
}

// explainsNoTarget tells whether a line is about what a target said of itself that may have kept a
// request from it, which found no target.
func (l logLine) explainsNoTarget(r logLine) bool {
	found := r.Reason != reasonNoTarget && r.Reason != reasonTargetsBackOff
	return !found && (l.Belief == "resting" || l.Belief == "leaving")
}

// Reasons of requests that found no target.
const (
	reasonNoTarget       = "no-target"
	reasonTargetsBackOff = "targets-rest"
)

func (s *explanation) print(w io.Writer) {
	fmt.Fprintf(w, "request %s: %s\n", s.RequestID, s.Verdict)
	for _, r := range s.requests {
		fmt.Fprintf(w, "%s %s: route %s, service %s, configuration %d, news %d ms old, %d of %d ms\n",
			r.Time.Format(time.RFC3339Nano), r.Instance, r.Route, r.Service, r.Config, r.NewsAgeMs, r.TookMs, r.BudgetMs)
		for i, t := range r.Attempts {
			fmt.Fprintf(w, "  attempt %d: target %s in %s (%s, load %.2f): %s after %d ms %s\n",
				i+1, t.Target, t.Region, t.Reason, t.Load, t.Outcome, t.TookMs, t.Error)
			t.printNotices(w)
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

// printNotices tells what the target said of itself.
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

// printAccount tells of the client account and of its limit, as far as they decided.
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

// reasonTexts explains the reasonTexts of final answers.
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
	"no-limit-owner":       "no instance that keeps its account's limit could be asked; it did not run",
}

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
