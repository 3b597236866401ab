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

// held is a request that is held back, as the store keeps it.
type held struct {
	// Content is the form of its digest in logs.
	Content string `json:"content"`
	Digest  string `json:"digest"`
	// Ends is the number of targets that have ended under it, and Last when the last did.
	Ends int       `json:"ends"`
	Last time.Time `json:"last"`
	// Released is when it was released, and By by whom; zero while it is held.
	Released time.Time `json:"released,omitzero"`
	By       string    `json:"by,omitempty"`
}

// holdCommand lists and releases requests that are held back because targets end under them.
func (a *app) holdCommand() *ffcli.Command {
	list := newFlags("rainford hold list")
	lc := &common{}
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
	rc := &common{}
	rc.register(release)
	rc.registerWho(release)
	releaseCmd := a.command("release", "rainford hold release [-who NAME] CONTENT", "have a request sent again like any other, at all instances", release, func(ctx context.Context, args []string) error {
		if len(args) != 1 {
			return usagef("hold release takes the content of one request, as request lines and hold list show it")
		}
		if rc.who == "" {
			return usagef("say who you are with -who or RAINFORD_WHO: the release is kept with it")
		}
		ctx, cancel := context.WithTimeout(ctx, rc.timeout)
		defer cancel()
		return a.releaseHeld(ctx, rc, args[0])
	})
	return a.group("hold", "rainford hold <list|release>", "see and release requests that are held back", listCmd, releaseCmd)
}

// readHeld reads the held requests from the store, the latest first.
func readHeld(ctx context.Context, client objectstore.Service) ([]held, error) {
	listing, err := client.List(ctx, quarantine.StoredPrefix)
	if err != nil {
		return nil, err
	}
	byDigest := make(map[quarantine.Digest]*held)
	for _, o := range listing.Objects {
		kept, err := quarantine.ParseStoredRecord(o.Key, o.Value)
		if err != nil {
			return nil, err
		}
		if kept.Expired(time.Now()) {
			continue
		}
		h := byDigest[kept.Digest]
		if h == nil {
			h = &held{Content: kept.Digest.String(), Digest: hex.EncodeToString(kept.Digest[:])}
			byDigest[kept.Digest] = h
		}
		h.add(kept)
	}
	var all []held
	for _, h := range byDigest {
		if h.Released.Before(h.Last) {
			h.Released, h.By = time.Time{}, ""
		}
		all = append(all, *h)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Last.After(all[j].Last) })
	return all, nil
}

// add takes in one of the objects of the request.
func (h *held) add(kept quarantine.StoredRecord) {
	if kept.Released > 0 {
		if at := kept.LastEvent(); at.After(h.Released) {
			h.Released, h.By = at, kept.ReleasedBy
		}
		return
	}
	h.Ends = max(h.Ends, len(kept.Crashes))
	if last := kept.LastEvent(); last.After(h.Last) {
		h.Last = last
	}
}

func (a *app) printHeld(c *common, all []held) error {
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

// releaseHeld writes a release of the one held request whose content is given.
func (a *app) releaseHeld(ctx context.Context, c *common, content string) error {
	client := c.client()
	all, err := readHeld(ctx, client)
	if err != nil {
		return err
	}
	var found []held
	for _, h := range all {
		if (strings.HasPrefix(h.Digest, content) || h.Content == content) && h.Released.IsZero() {
			found = append(found, h)
		}
	}
	if len(found) != 1 || content == "" {
		return fmt.Errorf("%d held requests have the content %q", len(found), content)
	}
	raw, err := hex.DecodeString(found[0].Digest)
	if err != nil {
		return err
	}
	kept := quarantine.StoredRecord{Digest: quarantine.Digest(raw), Released: time.Now().UnixMilli(), ReleasedBy: c.who}
	_, err = client.Put(ctx, kept.Key(), 0, kept)
	if err != nil {
		return err
	}
	if c.json {
		return a.printJSON(found[0])
	}
	fmt.Fprintf(a.stdout, "%s released\n", found[0].Content)
	return nil
}
