package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/rainford/rainford/internal/standin/link"
)

const (
	// linkFileVariable names, for a program that was built with the tag soaklinks, the file with the
	// cut of its links to servers.
	linkFileVariable = "RAINFORD_SOAK_LINKS"
	// minCutTime is the shortest cut of links to servers. Clients at cut instances must be served
	// for all but the first four seconds of it.
	minCutTime = 6 * time.Second
	// cutSettle is how long after a cut an instance may still hand requests over.
	cutSettle = 3 * time.Second
	// Of the first attempts of clients at cut instances, at least minCutShare times the fraction at
	// the others must be served, unless at most failedFactor times all first attempts plus failedSlack
	// fail.
	minCutShare  = 2.0 / 3
	failedFactor = 1.0 / 50
	failedSlack  = 10
)

// cutModes are the modes of cutTargetLinks. A mode that is added here would change the cuts of every
// recorded seed.
var cutModes = []link.Mode{link.Silent, link.Reset, link.RefuseNew, link.HangNew}

// linkCut is a cut of instances' links to servers.
type linkCut struct {
	from, until time.Time
	// whole is true if the links to all servers are cut.
	whole bool
	// hall is true if the links to the servers of another hall are cut one way.
	hall      bool
	instances map[string]bool
	// text is the cut as the processes read it.
	text string
}

// linkFile returns the path of the file that tells the processes of the instance which of their links to
// servers are cut.
func (in *instance) linkFile() string { return filepath.Join(in.site.dir, in.name+".links") }

// setLinks writes the cut of the instance's links, or its end for an empty text.
func (in *instance) setLinks(text string) {
	path := in.linkFile()
	err := os.WriteFile(path+".new", []byte(text), 0o644)
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
	}
}

// cutTargetLinks cuts the links to servers of one instance, of those of a hall, or of all instances but
// one, for the time of the fault: those to all servers, to the servers of a hall, or to every second one.
// There is one such fault at a time.
func (r *runner) cutTargetLinks(f Fault) {
	s := r.site
	mode := cutModes[f.How%len(cutModes)]
	scope, part := f.How/4%4, f.How/16%4
	first := s.instances[f.Which%len(s.instances)]
	cut := &linkCut{from: time.Now(), until: time.Now().Add(f.For), whole: part < 2, instances: make(map[string]bool)}
	var affected []*instance
	for _, in := range s.instances {
		chosen := in == first
		switch scope {
		case 1:
			chosen = in.place == first.place
		case 2:
			chosen = in != first
		}
		if chosen {
			affected = append(affected, in)
			cut.instances[in.name] = true
		}
	}
	var addrs []string
	for i, srv := range s.present() {
		if part == 2 && srv.place == first.place || part == 3 && i%2 == 0 {
			addrs = append(addrs, srv.proxy.addr())
		}
	}
	if !cut.whole && len(addrs) == 0 {
		return
	}
	cut.text = link.FormatCut(mode, addrs)
	r.applyCut(cut, affected)
}

// applyCut cuts the links of the affected instances until the end of the cut, and then judges it.
func (r *runner) applyCut(cut *linkCut, affected []*instance) {
	r.site.oracle.cutLinks(cut)
	for _, in := range affected {
		in.setLinks(cut.text)
	}
	r.later(time.Until(cut.until), func() {
		for _, in := range affected {
			in.setLinks("")
		}
		r.site.oracle.judgeCut(cut)
	})
}

// cutLinks records a cut of links to servers.
func (o *oracle) cutLinks(cut *linkCut) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.linkCuts = append(o.linkCuts, cut)
}

// senderOf returns the instance that sent an attempt to the server at which it arrived, or "" if that is
// not known: an instance whose links are cut hands requests over. The caller holds mu.
func (o *oracle) senderOf(a *attempt, at time.Time) string {
	for _, cut := range o.linkCuts {
		if cut.instances[a.instance] && a.at.Before(cut.until.Add(cutSettle)) && at.After(cut.from) {
			return ""
		}
	}
	return a.instance
}

// senderConnected reports whether the instance that senderOf returned is connected. If it is not known,
// all instances must be. The caller holds mu.
func (o *oracle) senderConnected(sender string, at time.Time) bool {
	if sender != "" {
		return o.connected(sender, at)
	}
	for name := range o.undisturbedSince {
		if !o.connected(name, at) {
			return false
		}
	}
	return true
}

// judgeCut checks at the end of a cut of all links, or of those to another hall, that clients were
// served at cut instances.
func (o *oracle) judgeCut(cut *linkCut) {
	if !cut.whole && !cut.hall {
		return
	}
	rule, minShare := "WAY", minCutShare
	if cut.hall {
		rule, minShare = "HALL", minHallShare
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	var atCut, atOthers struct{ served, all int }
	for _, a := range o.attempts {
		if !a.countsAsFirst() || !a.connected || a.at.Before(cut.from.Add(contact)) || !a.at.Before(cut.until) {
			continue
		}
		count := &atOthers
		if cut.instances[a.instance] {
			count = &atCut
		}
		count.all++
		if a.isServed() {
			count.served++
		}
	}
	o.cutResults = append(o.cutResults, fmt.Sprintf("%s at %d instances: %d of %d, others %d of %d", cut.text, len(cut.instances), atCut.served, atCut.all, atOthers.served, atOthers.all))
	if atCut.all == 0 || atOthers.all == 0 {
		return
	}
	o.checks[rule]++
	failed := atCut.all - atCut.served
	rare := float64(failed) <= failedSlack+failedFactor*float64(atCut.all+atOthers.all)
	if !rare && float64(atCut.served)*float64(atOthers.all) < minShare*float64(atOthers.served)*float64(atCut.all) {
		o.violated(rule, "instances with cut links to servers served %d of %d first attempts, the others %d of %d", atCut.served, atCut.all, atOthers.served, atOthers.all)
	}
}
