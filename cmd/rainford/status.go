package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sort"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/rainford/rainford/config"
	"github.com/rainford/rainford/internal/httpconn"
	"github.com/rainford/rainford/lookup"
	"github.com/rainford/rainford/member"
	"github.com/rainford/rainford/node"
	"github.com/rainford/rainford/objectstore"
	"github.com/rainford/rainford/protocol"
)

// decode unmarshals the value of obj into out, which must be a pointer.
func decode(obj objectstore.Object, out any) error {
	err := json.Unmarshal(obj.Value, out)
	if err != nil {
		return fmt.Errorf("decode %s: %w", obj.Key, err)
	}
	return nil
}

// instanceStatus is an instance with its status, or with the error of the request for it.
type instanceStatus struct {
	Instance member.Instance `json:"instance"`
	Status   *node.Status    `json:"status,omitempty"`
	Error    string          `json:"error,omitempty"`
}

// overview is the number of the accepted configuration and the status of every instance.
type overview struct {
	Version   int64            `json:"version"`
	Instances []instanceStatus `json:"instances"`
}

// statusTimeout bounds a request for the status of an instance or for a look-up.
const statusTimeout = 2 * time.Second

// fetchOverview requests the status of every instance that the platform lists, all at the
// same time. An instance that does not respond is included with its error.
func fetchOverview(ctx context.Context, client objectstore.Service) (*overview, error) {
	doc, err := readDocument(ctx, client)
	if err != nil {
		return nil, err
	}
	listing, err := client.List(ctx, node.InstancePrefix)
	if err != nil {
		return nil, err
	}
	out := &overview{Version: doc.Number, Instances: make([]instanceStatus, len(listing.Objects))}
	var wg sync.WaitGroup
	for i, obj := range listing.Objects {
		err := decode(obj, &out.Instances[i].Instance)
		if err != nil {
			return nil, err
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			out.Instances[i].fetch(ctx)
		}()
	}
	wg.Wait()
	sort.Slice(out.Instances, func(i, j int) bool { return out.Instances[i].Instance.ID < out.Instances[j].Instance.ID })
	return out, nil
}

func (s *instanceStatus) fetch(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var st node.Status
	err := fetchJSON(ctx, "http://"+s.Instance.AdminAddr+node.StatusPath, &st)
	if err != nil {
		s.Error = err.Error()
		return
	}
	s.Status = &st
}

// statusClient sends requests to instances. Each is bounded by its context.
var statusClient = http.Client{Transport: httpconn.NewTransport(http.DefaultTransport.(*http.Transport).Clone())}

// maxBody is the maximum size of a response, in bytes.
const maxBody = 8 << 20

// fetchJSON requests url and decodes the response, of at most maxBody bytes, into out. A
// status other than 200 is an error.
func fetchJSON(ctx context.Context, url string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := statusClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d: %s", url, resp.StatusCode, strings.TrimSpace(string(body)))
	}
	return json.Unmarshal(body, out)
}

func (a *app) statusCommand() *ffcli.Command {
	fs := newFlags("rainford status")
	c := &commonFlags{}
	c.register(fs)
	gateways := fs.String("gateways", "", "admin addresses of gateways, with commas between: show these, and which targets they send nothing to")
	return a.command("status", "rainford status [-gateways IP:PORT,…] [-json]", "show every instance with the version that it has in force", fs, func(ctx context.Context, args []string) error {
		if len(args) > 0 {
			return usagef("status takes no arguments")
		}
		ctx, cancel := context.WithTimeout(ctx, c.timeout)
		defer cancel()
		if *gateways != "" {
			return a.gatewayStatus(ctx, c, strings.Split(*gateways, ","))
		}
		o, err := fetchOverview(ctx, c.client())
		if err != nil {
			return err
		}
		if c.json {
			return a.printJSON(o)
		}
		return a.printOverview(o)
	})
}

func (a *app) printOverview(o *overview) error {
	fmt.Fprintf(a.stdout, "version %d is accepted\n", o.Version)
	tw := tabwriter.NewWriter(a.stdout, 2, 8, 2, ' ', 0)
	fmt.Fprintln(tw, "instance\tregion\thall\tversion\tstate\tseats\tin flight\tfree")
	for _, s := range o.Instances {
		fmt.Fprintf(tw, "%s\t%s\t%s\t", s.Instance.ID, s.Instance.Region, s.Instance.Hall)
		if s.Status == nil {
			fmt.Fprintf(tw, "?\tno answer\t\t\t\n")
			continue
		}
		inFlight, free := 0, 0
		for _, l := range s.Status.Loads {
			inFlight += l.InFlight
			free += l.Free
		}
		fmt.Fprintf(tw, "%d\t%s\t%d\t%d\t%d\n", s.Status.Version, stateOf(s.Status), s.Status.Seats, inFlight, free)
	}
	return tw.Flush()
}

func stateOf(s *node.Status) string {
	switch {
	case s.Leaving:
		return "leaving"
	case s.Ready:
		return "ready"
	default:
		return "not ready"
	}
}

func (a *app) watchCommand() *ffcli.Command {
	fs := newFlags("rainford watch")
	c := &commonFlags{}
	c.register(fs)
	count := fs.Int("n", 0, "end after this many changes; 0 goes on")
	return a.command("watch", "rainford watch [-n N] [-json]", "follow accepted changes, and when each is in force everywhere", fs, func(ctx context.Context, args []string) error {
		if len(args) > 0 {
			return usagef("watch takes no arguments")
		}
		return a.followChanges(ctx, c, *count)
	})
}

// changeReport is one line of the watch command.
type changeReport struct {
	config.Change
	// InForceSeconds is the time until every instance that responds had the change in
	// force, in seconds. It is -1 if that took longer than inForceMax.
	InForceSeconds float64 `json:"in_force_seconds"`
	Unresponsive   int     `json:"silent_instances"`
}

const (
	// watchWait is the maximum time that one watch request waits for a change.
	watchWait = 20 * time.Second
	// inForceMax is the maximum time to wait until a change is in force everywhere, and
	// inForcePoll is the interval between the requests for the status meanwhile.
	inForceMax  = 30 * time.Second
	inForcePoll = 100 * time.Millisecond
)

// followChanges prints each change that is accepted from now on, until count changes are
// printed or ctx ends. A count of 0 means no bound.
func (a *app) followChanges(ctx context.Context, c *commonFlags, count int) error {
	client := c.client()
	doc, err := readDocument(ctx, client)
	if err != nil {
		return err
	}
	seen := make(map[string]bool)
	for _, change := range doc.Recent {
		seen[change.ID] = true
	}
	after := int64(0)
	for shown := 0; ctx.Err() == nil && (count == 0 || shown < count); {
		listing, err := client.Watch(ctx, []string{config.Key}, after, watchWait)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			fmt.Fprintln(a.stderr, err)
			time.Sleep(time.Second)
			continue
		}
		after = listing.Revision
		for _, obj := range listing.Objects {
			doc, err := config.Decode(obj.Value)
			if err != nil {
				return err
			}
			for _, change := range doc.Recent {
				if seen[change.ID] {
					continue
				}
				seen[change.ID] = true
				shown++
				if err := a.showChange(ctx, c, client, change); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// showChange polls the instances until all that respond have the change in force, and prints
// the change with the time that this took.
func (a *app) showChange(ctx context.Context, c *commonFlags, client objectstore.Service, change config.Change) error {
	began := time.Now()
	line := changeReport{Change: change, InForceSeconds: -1}
	for time.Since(began) < inForceMax && ctx.Err() == nil {
		o, err := fetchOverview(ctx, client)
		if err == nil {
			behind := 0
			line.Unresponsive = 0
			for _, s := range o.Instances {
				if s.Status == nil {
					line.Unresponsive++
				} else if s.Status.Version < change.Number {
					behind++
				}
			}
			if behind == 0 {
				line.InForceSeconds = time.Since(began).Seconds()
				break
			}
		}
		time.Sleep(inForcePoll)
	}
	if c.json {
		return a.printJSON(line)
	}
	fmt.Fprintf(a.stdout, "version %d by %s at %s: %s; in force after %.2f s, %d instances silent\n",
		change.Number, change.Operator, change.At.Format(time.RFC3339), change.Command, line.InForceSeconds, line.Unresponsive)
	return nil
}

func (a *app) auditCommand() *ffcli.Command {
	fs := newFlags("rainford audit")
	c := &commonFlags{}
	c.register(fs)
	last := fs.Int("n", 20, "show the last N changes; 0 shows all")
	return a.command("audit", "rainford audit [-n N] [-json]", "print the accepted changes: who, when, before, after, version", fs, func(ctx context.Context, args []string) error {
		if len(args) > 0 {
			return usagef("audit takes no arguments")
		}
		ctx, cancel := context.WithTimeout(ctx, c.timeout)
		defer cancel()
		trail, err := config.AuditTrail(ctx, c.client())
		if err != nil {
			return err
		}
		if *last > 0 && len(trail) > *last {
			trail = trail[len(trail)-*last:]
		}
		if c.json {
			return a.printJSON(trail)
		}
		for _, change := range trail {
			fmt.Fprintf(a.stdout, "version %d  %s  %s  %s\n", change.Number, change.At.Format(time.RFC3339), change.Operator, change.Command)
			for _, cell := range change.Cells {
				fmt.Fprintf(a.stdout, "  %s: %s -> %s\n", cell.Cell, orNone(cell.Before), orNone(cell.After))
			}
		}
		return nil
	})
}

func (a *app) lookupCommand() *ffcli.Command {
	fs := newFlags("rainford lookup")
	c := &commonFlags{}
	c.registerJSON(fs)
	entry := fs.String("entry", "", "IP:PORT of an instance's callers' address")
	return a.command("lookup", "rainford lookup -entry IP:PORT [-json] SERVICE", "ask an instance which ones a caller here should use", fs, func(ctx context.Context, args []string) error {
		if len(args) != 1 || *entry == "" {
			return usagef("lookup takes -entry and one service")
		}
		ctx, cancel := context.WithTimeout(ctx, statusTimeout)
		defer cancel()
		var answer lookup.Response
		query := url.Values{"service": {args[0]}}
		err := fetchJSON(ctx, "http://"+*entry+protocol.LookupPath+"?"+query.Encode(), &answer)
		if err != nil {
			return err
		}
		if c.json {
			return a.printJSON(answer)
		}
		fmt.Fprintf(a.stdout, "home %s, valid for %s\n", answer.HomeHall, time.Duration(answer.TTLMillis)*time.Millisecond)
		for _, e := range answer.Instances {
			fmt.Fprintf(a.stdout, "%s  %s  %s  %s\n", e.Addr, e.ID, e.Hall, e.Region)
		}
		return nil
	})
}
