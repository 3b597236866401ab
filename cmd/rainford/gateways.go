package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/rainford/rainford/gateway"
	"github.com/rainford/rainford/rollout"
)

// gatewayResult is the status of a gateway, or the error of the request for it.
type gatewayResult struct {
	Addr   string          `json:"addr"`
	Status *gateway.Status `json:"status,omitempty"`
	Error  string          `json:"error,omitempty"`
}

// fetchGatewayStatuses requests the status of the gateways at the admin addresses addrs, all
// at the same time. The results are in the order of addrs.
func fetchGatewayStatuses(ctx context.Context, addrs []string) []gatewayResult {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	out := make([]gatewayResult, len(addrs))
	var wg sync.WaitGroup
	for i, addr := range addrs {
		out[i].Addr = addr
		wg.Go(func() {
			var status gateway.Status
			err := fetchJSON(ctx, "http://"+addr+gateway.StatusPath, &status)
			if err != nil {
				out[i].Error = err.Error()
				return
			}
			out[i].Status = &status
		})
	}
	wg.Wait()
	return out
}

// gatewayStatus prints the status of the gateways at the admin addresses addrs. It returns an
// error if none of them responds.
func (a *app) gatewayStatus(ctx context.Context, c *commonFlags, addrs []string) error {
	answers := fetchGatewayStatuses(ctx, addrs)
	answered := 0
	for _, answer := range answers {
		if answer.Status != nil {
			answered++
		}
	}
	if c.json {
		err := a.printJSON(answers)
		if err != nil {
			return err
		}
	} else {
		a.printGateways(answers)
	}
	if answered == 0 {
		return fmt.Errorf("no gateway responded to the status request")
	}
	return nil
}

func (a *app) printGateways(answers []gatewayResult) {
	tw := tabwriter.NewWriter(a.stdout, 2, 8, 2, ' ', 0)
	for _, answer := range answers {
		s := answer.Status
		if s == nil {
			fmt.Fprintf(tw, "%s\tno answer: %s\n", answer.Addr, answer.Error)
			continue
		}
		fmt.Fprintf(tw, "%s\t%s\tconfiguration %d\t%s\t%d targets, %d of them get nothing\n", s.Instance, s.Hall, s.ConfigVersion, gatewayState(s), s.Targets, len(s.Unavailable))
		fmt.Fprintf(tw, "  look-ups\t%s\t%s\n", s.Lookups.Composition, formatLookup(s.Lookups.Entries))
		if s.TargetsLost {
			fmt.Fprintf(tw, "  reaches no target\n")
		}
		if s.Isolated {
			fmt.Fprintf(tw, "  isolated: cut off from everything outside its hall\n")
		}
		for _, h := range s.HallsLost {
			fmt.Fprintf(tw, "  reaches no target of %s\t%s\n", h.Hall, formatTimes(h.ForMs, 0))
		}
		for _, t := range s.Unavailable {
			fmt.Fprintf(tw, "  %s\t%s\t%s\t%s by %s\t%s\n", t.Target, t.Hall, t.Service, t.Cause, t.Source, formatTimes(t.ForMs, t.RemainingMs))
		}
		for _, t := range s.Limited {
			fmt.Fprintf(tw, "  %s\t%s\t%s\ttakes %g/s by %s\t%s, %.1f/s from here, permits by %s\n", t.Target, t.Hall, t.Service, t.PerSecond, t.Source, formatTimes(t.ForMs, 0), t.UsedRate, t.Owner)
		}
		for _, d := range s.Shares {
			fmt.Fprintf(tw, "  %s\tshares of %s\t%s\t%s, %d keys\n", d.Service, formatHomes(d.HomeRegions), formatShares(d.InForce), formatWanted(d), d.CalibratedKeys)
		}
		for _, r := range s.Rollouts {
			fmt.Fprintf(tw, "  %s\tversion %s\t%s\t%s%s\t%.3g of the requests, for %s of %s%s\n", r.Service, r.Version, stateName(r.State), r.Stage, formatReason(r.Reason), r.Share,
				time.Duration(r.ForMs)*time.Millisecond, time.Duration(r.DurationMs)*time.Millisecond, formatLeader(r))
		}
		for _, h := range s.Held {
			fmt.Fprintf(tw, "  %s\theld\t%d targets ended\t%d trials failed\t%s\n", h.Content, h.Crashes, h.FailedTrials, formatTimes(0, h.RemainingMs))
		}
	}
	_ = tw.Flush()
}

// formatLookup formats the instances that look-ups name, with the numbers of their entries.
func formatLookup(entries []gateway.LookupEntry) string {
	var parts []string
	for _, e := range entries {
		text := fmt.Sprintf("%s (%s) %d", e.Instance, e.Hall, e.Entries)
		if e.Overloaded {
			text += " overloaded"
		}
		parts = append(parts, text)
	}
	return strings.Join(parts, ", ")
}

func gatewayState(s *gateway.Status) string {
	switch {
	case s.Leaving:
		return "leaving"
	case s.Ready:
		return "ready"
	default:
		return "not ready"
	}
}

// formatHomes formats the home regions of requests.
func formatHomes(regions []string) string {
	if len(regions) == 0 {
		return "any region"
	}
	return "home " + strings.Join(regions, ",")
}

// formatShares formats the shares of regions in the order of the regions.
func formatShares(shares map[string]float64) string {
	var parts []string
	for _, region := range slices.Sorted(maps.Keys(shares)) {
		parts = append(parts, fmt.Sprintf("%s %.3f", region, shares[region]))
	}
	return strings.Join(parts, ", ")
}

// formatWanted formats the shares that those in force are moving to.
func formatWanted(d gateway.RegionShares) string {
	if !d.Moving {
		return "settled"
	}
	return "moving to " + formatShares(d.Wanted)
}

// formatTimes formats the time that a condition has lasted and the time until it ends, both
// in milliseconds. A time that is not positive is unknown and is left out.
func formatTimes(forMs, leftMs int64) string {
	text := ""
	if forMs > 0 {
		text = "for " + (time.Duration(forMs) * time.Millisecond).String()
	}
	if leftMs > 0 {
		text += " until in " + (time.Duration(leftMs) * time.Millisecond).String()
	}
	return text
}

// formatReason formats the reason of a rollout's state, or nothing if there is none.
func formatReason(why rollout.Reason) string {
	if why == rollout.ReasonNone {
		return ""
	}
	return " because of " + string(why)
}

// formatLeader formats the instance that leads a rollout. If the instance that reported r is
// the leader, it adds the number of requests and the log-likelihood ratios for failing and for
// slow responses that the decision is based on.
func formatLeader(r gateway.RolloutStatus) string {
	switch {
	case r.IsLeader:
		return fmt.Sprintf(", decided here: %d of %d to new targets, odds of failing %.1f, of slow %.1f", r.SentNew, r.Sent, r.FailureLLR, r.SlowLLR)
	case r.Leader != "":
		return ", decided by " + r.Leader
	default:
		return ""
	}
}
