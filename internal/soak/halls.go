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
	// minPowerShare is the fraction of the requests that a hall's clients got served before it lost
	// power, and still do while it has none, relative to the other halls' clients. With fewer than
	// minOutageRate requests per second before, the fraction is not judged.
	minPowerShare = 2.0 / 3
	minOutageRate = 10
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

// servedRates holds the requests of clients served per second before and during a power outage.
type servedRates struct{ before, during float64 }

// kept returns the fraction of the rate before the outage that is left during it.
func (r servedRates) kept() float64 { return r.during / r.before }

// judgeOutage checks at the end of a power outage that the hall's clients were served while it lasted.
// The requests that they got served per second are compared with those before, and with how the other
// halls' clients fared. The first four seconds do not count: then look-ups must name instances of other
// halls. Attempts are no measure, since a client that waits for an instance without power makes few.
func (o *oracle) judgeOutage(lost *outage) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var own, others servedRates
	usable := lost.from.Add(contact)
	for _, a := range o.attempts {
		if a.clientHall == "" || a.doneAt.IsZero() || !a.isServed() {
			continue
		}
		rates := &others
		if a.clientHall == lost.hall {
			rates = &own
		}
		switch {
		case a.doneAt.After(lost.from.Add(-contact)) && a.doneAt.Before(lost.from):
			rates.before += 1 / contact.Seconds()
		case a.doneAt.After(usable) && a.doneAt.Before(lost.until):
			rates.during += 1 / lost.until.Sub(usable).Seconds()
		}
	}
	o.cutResults = append(o.cutResults, fmt.Sprintf("hall %s without power: its clients %.1f/s of %.1f/s, others %.1f/s of %.1f/s",
		lost.hall, own.during, own.before, others.during, others.before))
	if own.before < minOutageRate || others.before < minOutageRate || o.othersDisturbed(lost) {
		return
	}
	o.checks["POWER"]++
	if own.kept() < minPowerShare*min(1, others.kept()) {
		o.violated("POWER", "while hall %s had no power its clients were served %.1f requests a second of %.1f, the others %.1f of %.1f",
			lost.hall, own.during, own.before, others.during, others.before)
	}
}

// othersDisturbed reports whether another fault disturbed an instance of another hall during the outage,
// so that the hall's clients may have had nowhere to go. The caller holds mu.
func (o *oracle) othersDisturbed(lost *outage) bool {
	for name, at := range o.undisturbedSince {
		if !lost.instances[name] && at.After(lost.from) {
			return true
		}
	}
	return false
}

// countsAsFirst reports whether the attempt is a client's first one at a request and has an end.
func (a *attempt) countsAsFirst() bool {
	return a.probe == 0 && !a.hot && !a.repeated && a.leftAt.IsZero() && !a.doneAt.IsZero()
}

// isServed reports whether the attempt was answered with a success.
func (a *attempt) isServed() bool { return a.result.err == nil && a.result.status == 200 }
