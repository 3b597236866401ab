package soak

import (
	"fmt"
	"syscall"
	"time"

	"github.com/rainford/rainford/internal/standin/link"
	"github.com/rainford/rainford/internal/standin/objects"
	"github.com/rainford/rainford/internal/standin/origin"
)

const (
	// minHallShare is the fraction of the others' served first attempts that instances must serve
	// whose links to the servers of one other hall are cut one way. A quarter of the servers is cut.
	minHallShare = 0.9
	// minPowerShare is the fraction of the first attempts served before a hall lost power that must be
	// served while it has none.
	minPowerShare = 2.0 / 3
	// minOutageTime is the shortest time for which a hall has no power. Clients must be served for all
	// but the first four seconds of it.
	minOutageTime = 6 * time.Second
)

// cutHallLinks cuts the links of one hall's instances to the servers of another hall one way for the
// time of the fault: requests arrive, responses do not come back.
func (r *runner) cutHallLinks(f Fault) {
	s := r.site
	from := f.Which % len(places)
	to := places[(from+1+f.How%(len(places)-1))%len(places)]
	cut := &linkCut{from: time.Now(), until: time.Now().Add(f.For), hall: true, instances: make(map[string]bool)}
	var affected []*instance
	for _, in := range s.instances {
		if in.place == places[from] {
			affected = append(affected, in)
			cut.instances[in.name] = true
		}
	}
	var addrs []string
	for _, srv := range s.present() {
		if srv.place == to {
			addrs = append(addrs, srv.proxy.addr())
		}
	}
	if len(affected) == 0 || len(addrs) == 0 {
		return
	}
	cut.text = link.FormatCut(link.OneWay, addrs)
	r.applyCut(cut, affected)
}

// outage is a time in which a hall has no power.
type outage struct {
	hall        string
	from, until time.Time
	// instances are those of the hall.
	instances map[string]bool
}

// cutPower ends the instances and the servers of a hall at the same time, without a word to their
// connections. They start again when the fault ends, the servers cold and under their IDs.
func (r *runner) cutPower(f Fault) {
	s := r.site
	hall := places[f.Which%len(places)].hall
	lost := &outage{hall: hall, from: time.Now(), until: time.Now().Add(f.For), instances: make(map[string]bool)}
	var instances []*instance
	for _, in := range s.instances {
		if in.place.hall == hall {
			instances = append(instances, in)
			lost.instances[in.name] = true
		}
	}
	for _, in := range instances {
		s.oracle.killed(in.name, lost.until.Add(restartAfter))
		in.holdUntil(lost.until)
		for _, p := range []*proxy{in.front, in.peer, in.store} {
			p.powerOff()
		}
		in.signal(syscall.SIGKILL, true)
	}
	var servers []*server
	for _, srv := range s.present() {
		if srv.place.hall == hall && s.markGone(srv) {
			servers = append(servers, srv)
			srv.proxy.powerOff()
			srv.Close()
		}
	}
	r.later(f.For, func() {
		for _, in := range instances {
			for _, p := range []*proxy{in.front, in.peer, in.store} {
				p.powerOn()
			}
		}
		for _, srv := range servers {
			s.startAgain(srv)
		}
		s.oracle.judgeOutage(lost)
	})
}

// startAgain starts a server that has ended under the same ID at another address, unless its version was
// rejected meanwhile.
func (s *site) startAgain(srv *server) {
	srv.proxy.close()
	if s.isRejected(srv.version) {
		s.store.Remove(objects.KindServers, srv.ID)
		return
	}
	o, err := origin.Start(srv.ID, srv.Service, srv.place.hall, serverSlots)
	if err != nil {
		return
	}
	_, _ = s.serve(o, srv.place, true, srv.version)
}

// judgeOutage checks at the end of a power outage that clients were served while it lasted. Attempts at
// instances of the hall count: after the first four seconds look-ups must name others.
func (o *oracle) judgeOutage(lost *outage) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var before, during struct{ served, all int }
	for _, a := range o.attempts {
		if !a.countsAsFirst() || !a.connected && !lost.instances[a.instance] {
			continue
		}
		count := &during
		switch {
		case a.at.After(lost.from.Add(-contact)) && a.doneAt.Before(lost.from):
			count = &before
		case a.at.Before(lost.from.Add(contact)) || !a.at.Before(lost.until):
			continue
		}
		count.all++
		if a.isServed() {
			count.served++
		}
	}
	o.cutResults = append(o.cutResults, fmt.Sprintf("hall %s without power: %d of %d, before %d of %d", lost.hall, during.served, during.all, before.served, before.all))
	if before.all == 0 || during.all == 0 {
		return
	}
	o.checks["POWER"]++
	failed := float64(during.all - during.served)
	rare := failed <= failedSlack+failedFactor*float64(during.all)
	if !rare && float64(during.served)*float64(before.all) < minPowerShare*float64(before.served)*float64(during.all) {
		o.violated("POWER", "while hall %s had no power %d of %d first attempts were served, before %d of %d", lost.hall, during.served, during.all, before.served, before.all)
	}
}

// countsAsFirst reports whether the attempt is a client's first one at a request and has an end.
func (a *attempt) countsAsFirst() bool {
	return a.probe == 0 && !a.hot && !a.repeated && a.leftAt.IsZero() && !a.doneAt.IsZero()
}

// isServed reports whether the attempt was answered with a success.
func (a *attempt) isServed() bool { return a.result.err == nil && a.result.status == 200 }
