package soak

import (
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"github.com/rainford/rainford/internal/standin/objects"
	"github.com/rainford/rainford/internal/standin/origin"
)

// storeSettle is how long the effects of a store fault may last after the fault has ended.
const storeSettle = 500 * time.Millisecond

// inject starts a fault and schedules its end.
func (r *runner) inject(f Fault) {
	s := r.site
	in := s.instances[f.Which%len(s.instances)]
	end := time.Now().Add(f.For)
	switch f.Kind {
	case InstanceTerm:
		r.stopInstance(in)
	case InstanceKill:
		s.oracle.killed(in.name, end)
		in.signal(syscall.SIGKILL, true)
	case InstancePause:
		s.oracle.disturbed(in.name, end)
		s.oracle.paused(in.name, end)
		in.signal(syscall.SIGSTOP, false)
		r.later(f.For, func() { in.signal(syscall.SIGCONT, false) })
	case InstanceReload:
		in.signal(syscall.SIGHUP, false)
	case KillAll:
		s.oracle.allKilled()
		for _, in := range s.instances {
			s.oracle.killed(in.name, time.Now())
			in.signal(syscall.SIGKILL, true)
		}
	case FrontLink, PeerLink, StoreLink, LinkReset:
		r.link(f, in, end)
	case StoreDown, StoreSlow, StoreLosesReplies, StoreCompacts:
		r.storeFault(f, end)
	case StoreRestored:
		r.restoreStore(f)
	case Evacuation:
		r.evacuate(f)
	case KeyChange:
		r.changeKeys(f)
	case TargetLinks:
		r.cutTargetLinks(f)
	case HallLinks:
		r.cutHallLinks(f)
	case HallPower:
		r.cutPower(f)
	case LinkSilence:
		s.oracle.disturbed(in.name, time.Now())
		silenced := []*proxy{in.front, in.peer, in.store}[f.How%3]
		if silenced == in.front {
			s.oracle.silenced(in.name)
		}
		silenced.silence()
	case ServerSilence:
		for _, in := range s.instances {
			s.oracle.disturbed(in.name, time.Now())
		}
		if srv := s.pick(f.Which); srv != nil {
			srv.proxy.silence()
		}
	case ForeignEntry:
		r.writeForeign(f)
	case ServerRestart:
		r.restartServer(f)
	case CrashingRequests:
		r.sendCrashing(f)
	case Rollout:
		r.rollout(f)
	case ConfigChange:
		s.configure()
	case ConfigStorm:
		for i := range 5 {
			r.later(time.Duration(i)*150*time.Millisecond, s.configure)
		}
	default:
		r.serverFault(f)
	}
}

// stopInstance stops an instance gracefully, unless it is already stopping or has no power.
func (r *runner) stopInstance(in *instance) {
	if in.isHeld() {
		return
	}
	o := r.site.oracle
	o.mu.Lock()
	_, already := o.stopping[in.name]
	if !already {
		o.stopping[in.name] = time.Now()
	}
	o.mu.Unlock()
	if !already {
		in.signal(syscall.SIGTERM, true)
	}
}

func (r *runner) link(f Fault, in *instance, end time.Time) {
	r.site.oracle.disturbed(in.name, end)
	p := map[FaultKind]*proxy{FrontLink: in.front, PeerLink: in.peer, StoreLink: in.store}[f.Kind]
	if f.Kind == LinkReset {
		for _, p := range []*proxy{in.front, in.peer, in.store} {
			p.reset()
		}
		return
	}
	p.set([]Mode{Delay, Trickle, Stall, StallUp, StallDown}[f.How%5])
	r.later(f.For, func() { p.set(Pass) })
}

func (r *runner) storeFault(f Fault, end time.Time) {
	s := r.site
	for _, in := range s.instances {
		s.oracle.disturbed(in.name, end.Add(storeSettle))
	}
	switch f.Kind {
	case StoreDown:
		s.store.SetFaults(objects.Faults{Down: f.How%2 == 0, Silent: f.How%2 == 1})
	case StoreSlow:
		s.store.SetFaults(objects.Faults{Delay: 250 * time.Millisecond})
	case StoreLosesReplies:
		s.store.SetFaults(objects.Faults{LoseReplies: true, LoseAnswers: f.How%2 == 1})
	default:
		s.store.CompactHistory()
		return
	}
	r.later(f.For, func() { s.store.SetFaults(objects.Faults{}) })
}

func (r *runner) evacuate(f Fault) {
	s := r.site
	hall := places[f.Which%len(places)].hall
	o := s.oracle
	o.mu.Lock()
	_, already := o.evacuated[hall]
	if !already {
		o.evacuated[hall] = time.Now()
	}
	o.mu.Unlock()
	if already {
		return
	}
	s.store.Evacuate(hall)
	r.later(evacuateTime+f.For, func() {
		o.mu.Lock()
		delete(o.evacuated, hall)
		o.mu.Unlock()
		s.store.CancelEvacuation(hall)
	})
}

// pick returns one of the present servers, or nil if there is none.
func (s *site) pick(which int) *server {
	s.mu.Lock()
	defer s.mu.Unlock()
	var present []*server
	for _, srv := range s.servers {
		if !srv.gone {
			present = append(present, srv)
		}
	}
	if len(present) == 0 {
		return nil
	}
	return present[which%len(present)]
}

func (s *site) markGone(srv *server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := srv.gone
	srv.gone = true
	return !was
}

func (r *runner) serverFault(f Fault) {
	s := r.site
	srv := s.pick(f.Which)
	if srv == nil {
		return
	}
	switch f.Kind {
	case ServerCrash:
		r.crash(srv, f)
	case ServerSlow:
		srv.SetServiceTime(20 * serverWork)
		r.later(f.For, func() { srv.SetServiceTime(serverWork) })
	case ServerFaults:
		r.misbehave(srv, f)
	case ServerResets:
		srv.ResetConnections()
	case ServerDrain:
		r.drain(srv, f)
	case AddressReuse:
		r.reuseAddress(srv, f)
	case ServerLeaving:
		r.announceLeaving(srv, f)
	case ServerLimits:
		r.announceLimits(srv, f)
	case ServerBackoff:
		r.requestBackoff(srv, f)
	case ServerBadHeaders:
		r.sendMalformedHeaders(srv, f)
	case NewServer:
		_, _ = s.addServer(srv.Service, srv.place, true)
	}
}

// crash makes a server unreachable, either by stalling its connections or by closing them.
// Another server replaces it when the fault ends.
func (r *runner) crash(srv *server, f Fault) {
	if !r.site.markGone(srv) {
		return
	}
	if f.How%2 == 0 {
		srv.proxy.set(Stall)
	} else {
		srv.Close()
	}
	r.later(f.For, func() {
		r.site.store.Remove("servers", srv.ID)
		_, _ = r.site.addServer(srv.Service, srv.place, true)
	})
}

// misbehave injects faults into a server's answers: in half of the variants a random fault
// into one of four requests, otherwise one fixed fault into one of ten.
func (r *runner) misbehave(srv *server, f Fault) {
	rnd := rand.New(rand.NewPCG(uint64(f.How), 3))
	only := origin.Fault(1 + f.How/2%int(origin.Failed))
	srv.SetScript(func(*http.Request) origin.Fault {
		switch {
		case f.How%2 == 0 && rnd.IntN(4) == 0:
			return origin.Fault(1 + rnd.IntN(int(origin.Failed)))
		case f.How%2 == 1 && rnd.IntN(10) == 0:
			return only
		default:
			return origin.None
		}
	})
	r.later(f.For, func() { srv.SetScript(nil) })
}

// drain has a server leave. The server continues to serve until it stops. In two thirds of the
// variants its entry states that it is draining; otherwise the entry is removed without
// notice.
func (r *runner) drain(srv *server, f Fault) {
	s := r.site
	if !s.markGone(srv) {
		return
	}
	_, _ = s.addServer(srv.Service, srv.place, true)
	s.oracle.mu.Lock()
	s.oracle.draining[srv.ID] = time.Now()
	s.oracle.mu.Unlock()
	if f.How%3 == 0 {
		s.store.Remove("servers", srv.ID)
	} else {
		s.record(srv, "draining")
	}
	r.later(drainTimeout+2*time.Second, func() {
		s.store.Remove("servers", srv.ID)
		srv.Close()
	})
}

// reuseAddress gives the address of a stopped server to a server of the other service. The
// entry of the stopped server is removed at once or only afterwards.
func (r *runner) reuseAddress(srv *server, f Fault) {
	s := r.site
	if !s.markGone(srv) {
		return
	}
	_, _ = s.addServer(srv.Service, srv.place, true)
	if f.How%2 == 0 {
		s.store.Remove("servers", srv.ID)
	}
	srv.Close()
	r.later(reuseAfter, func() {
		other := services[0]
		if srv.Service == other {
			other = services[1]
		}
		next, err := s.addServer(other, srv.place, true)
		if err != nil {
			return
		}
		srv.proxy.mu.Lock()
		srv.proxy.target = next.Addr()
		srv.proxy.mu.Unlock()
	})
	r.later(reuseAfter+2*time.Second, func() { s.store.Remove("servers", srv.ID) })
}
