package main

import (
	"context"
	"encoding/hex"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/rainford/rainford/objectstore"
	"github.com/rainford/rainford/quarantine"
)

// heldRequest is a quarantined request, merged from its records in the store. Instances hold
// such a request because targets crashed while they ran it.
type heldRequest struct {
	// Content is the digest of the request's content in the form that log lines use, and
	// Digest is the whole digest in hexadecimal.
	Content string `json:"content"`
	Digest  string `json:"digest"`
	// Ends is the number of targets that crashed while they ran the request, and Last is the
	// time of the last crash.
	Ends int       `json:"ends"`
	Last time.Time `json:"last"`
	// Released is the time of the release, and By is the operator who released the request.
	// Both are zero while the request is held.
	Released time.Time `json:"released,omitzero"`
	By       string    `json:"by,omitempty"`
}

// holdCommand returns the commands that list and release quarantined requests.
func (a *app) holdCommand() *ffcli.Command {
	list := newFlags("rainford hold list")
	lc := &commonFlags{}
	lc.register(list)
	listCmd := a.command("list", "rainford hold list [-json]", "list the requests, and the accounts, that are held back because targets ended under them", list, func(ctx context.Context, args []string) error {
		if len(args) > 0 {
			return usagef("hold list takes no arguments")
		}
		ctx, cancel := context.WithTimeout(ctx, lc.timeout)
		defer cancel()
		all, err := readHeld(ctx, lc.client())
		if err != nil {
			return err
		}
		return a.printHeld(lc, all)
	})
	release := newFlags("rainford hold release")
	rc := &commonFlags{}
	rc.register(release)
	rc.registerOperator(release)
	releaseCmd := a.command("release", "rainford hold release [-who NAME] CONTENT", "have a request sent again like any other, at all instances", release, func(ctx context.Context, args []string) error {
		if len(args) != 1 {
			return usagef("hold release takes the content of one request, as printed by hold list and in request log lines")
		}
		if rc.operator == "" {
			return usagef("the operator's name is missing: the release is stored with the name from -who or RAINFORD_WHO")
		}
		ctx, cancel := context.WithTimeout(ctx, rc.timeout)
		defer cancel()
		return a.releaseHeld(ctx, rc, args[0])
	})
	return a.group("hold", "rainford hold <list|release>", "see and release requests that are held back", listCmd, releaseCmd)
}

// readHeld reads the quarantined requests from the store. The request with the latest crash
// comes first. A request that was released before its latest crash is held again.
func readHeld(ctx context.Context, client objectstore.Service) ([]heldRequest, error) {
	listing, err := client.List(ctx, quarantine.StoredPrefix)
	if err != nil {
		return nil, err
	}
	byDigest := make(map[quarantine.Digest]*heldRequest)
	for _, o := range listing.Objects {
		record, err := quarantine.ParseStoredRecord(o.Key, o.Value)
		if err != nil {
			return nil, err
		}
		if record.Expired(time.Now()) {
			continue
		}
		h := byDigest[record.Digest]
		if h == nil {
			h = &heldRequest{Content: record.Digest.String(), Digest: hex.EncodeToString(record.Digest[:])}
			byDigest[record.Digest] = h
		}
		h.merge(record)
	}
	var all []heldRequest
	for _, h := range byDigest {
		if h.Released.Before(h.Last) {
			h.Released, h.By = time.Time{}, ""
		}
		all = append(all, *h)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Last.After(all[j].Last) })
	return all, nil
}

// merge applies one stored record of the request, which is a release or a list of crashes.
func (h *heldRequest) merge(record quarantine.StoredRecord) {
	if record.Released > 0 {
		if at := record.LastEvent(); at.After(h.Released) {
			h.Released, h.By = at, record.ReleasedBy
		}
		return
	}
	h.Ends = max(h.Ends, len(record.Crashes))
	if last := record.LastEvent(); last.After(h.Last) {
		h.Last = last
	}
}

func (a *app) printHeld(c *commonFlags, all []heldRequest) error {
	if c.json {
		return a.printJSON(all)
	}
	for _, h := range all {
		state := "held"
		if !h.Released.IsZero() {
			state = "released by " + h.By + " at " + h.Released.Format(time.RFC3339)
		}
		fmt.Fprintf(a.stdout, "%s  %d targets ended, the last at %s  %s\n", h.Content, h.Ends, h.Last.Format(time.RFC3339), state)
	}
	return nil
}

// releaseHeld stores a release of the one held request whose digest begins with content, or
// whose digest has the form content in logs. It returns an error if no request or several
// requests match.
func (a *app) releaseHeld(ctx context.Context, c *commonFlags, content string) error {
	client := c.client()
	all, err := readHeld(ctx, client)
	if err != nil {
		return err
	}
	var found []heldRequest
	for _, h := range all {
		if (strings.HasPrefix(h.Digest, content) || h.Content == content) && h.Released.IsZero() {
			found = append(found, h)
		}
	}
	if len(found) != 1 || content == "" {
		return fmt.Errorf("%d held requests match the content %q: give the content of exactly one", len(found), content)
	}
	raw, err := hex.DecodeString(found[0].Digest)
	if err != nil {
		return err
	}
	record := quarantine.StoredRecord{Digest: quarantine.Digest(raw), Released: time.Now().UnixMilli(), ReleasedBy: c.operator}
	_, err = client.Put(ctx, record.Key(), 0, record)
	if err != nil {
		return err
	}
	if c.json {
		return a.printJSON(found[0])
	}
	fmt.Fprintf(a.stdout, "%s released\n", found[0].Content)
	return nil
}
