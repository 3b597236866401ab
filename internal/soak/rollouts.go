package soak

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rainford/rainford/internal/standin/objects"
	"github.com/rainford/rainford/internal/standin/origin"
)

const (
	// rolloutLasts is the time that an order gives, and newPerHall the number of servers of the new
	// version in each hall.
	rolloutLasts = 9 * time.Second
	newPerHall   = 2
	// exposedShare and exposedSlack are how many of a service's requests a bad version may get, and
	// rollbackWithin how long after its fiftieth bad answer it may still get any.
	exposedShare   = 0.1
	exposedSlack   = 50
	badAnswers     = 50
	rollbackWithin = 5 * time.Second
	// verdictLooks is how often the order is looked at.
	verdictLooks = 50 * time.Millisecond
)

// quality is what is wrong with a version.
type quality int

// The qualities.
const (
	soundVersion quality = iota
	failingVersion
	slowVersion
	failingLater
	failingOnARoute
	qualities
)

// versionCheck judges the rollout of one version.
type versionCheck struct {
	service, version string
	quality          quality
	from, until      time.Time
	// all are the requests that reached the service in the time of the order, and atNew those that
	// instances in touch sent to the version.
	all, atNew int
	// answeredBadly is the number of the version's bad answers, and fiftiethAt when the fiftieth
	// came.
	answeredBadly int
	fiftiethAt    time.Time
	late          bool
	verdict       string
	// forgotten says that all instances ended soon after the store had lost what it held of the
	// order: nobody may know of the verdict, or of the version's bad answers.
	forgotten bool
}

func (c *versionCheck) isBad() bool { return c.quality != soundVersion }

// rollout has the operator order a version of a service, starts its servers, and does what the platform does
// at its end.
func (r *runner) rollout(f Fault) {
	s := r.site
	service := services[f.Which%len(services)]
	if !s.rolling.CompareAndSwap(false, true) {
		return
	}
	check := &versionCheck{service: service, version: s.nextVersion(), quality: quality(f.How % int(qualities)), from: time.Now(), until: time.Now().Add(rolloutLasts)}
	o := s.oracle
	o.mu.Lock()
	o.versions = append(o.versions, check)
	o.mu.Unlock()
	s.store.Remove("rollouts", service)
	s.store.Set("rollouts", service, objects.Rollout{Service: service, TargetVersion: check.version, Duration: rolloutLasts.String()})
	for _, p := range places {
		for range newPerHall {
			srv, err := s.addVersion(service, check.version, p)
			if err != nil {
				continue
			}
			r.spoil(srv, check)
		}
	}
	r.awaitVerdict(check)
}

// spoil gives a server of a version what is wrong with it.
func (r *runner) spoil(srv *server, check *versionCheck) {
	var n atomic.Int64
	fails := func(req *http.Request) bool {
		switch check.quality {
		case failingVersion:
			return true
		case failingLater:
			return time.Since(check.from) > rolloutLasts/3
		case failingOnARoute:
			return strings.HasPrefix(req.RequestURI, "/up/") || strings.HasPrefix(req.RequestURI, "/home/")
		default:
			return false
		}
	}
	if check.quality == slowVersion {
		srv.SetServiceTime(6 * serverWork)
	}
	srv.SetScript(func(req *http.Request) origin.Fault {
		if check.quality == slowVersion {
			r.site.oracle.badAnswer(check)
			return origin.None
		}
		if !fails(req) || n.Add(1)%2 == 0 {
			return origin.None
		}
		r.site.oracle.badAnswer(check)
		return origin.Failed
	})
}

// awaitVerdict waits for the end of a rollout. A success stops the old servers at once, a rollback drains the
// new ones, as does an order that was not ended in its time.
func (r *runner) awaitVerdict(check *versionCheck) {
	s := r.site
	state := s.rolloutState(check.service)
	if state != "" && state != "running" || time.Now().After(check.until.Add(2*time.Second)) {
		s.oracle.ruled(check, state)
		succeeded := state == "succeeded"
		if succeeded {
			s.setVersion(check.service, check.version)
		} else {
			s.reject(check.version)
		}
		for _, srv := range s.there() {
			if srv.Service != check.service || (srv.version == check.version) == succeeded {
				continue
			}
			if !s.markGone(srv) {
				continue
			}
			if succeeded {
				srv.Close()
				s.store.Remove("servers", srv.ID)
				continue
			}
			r.leave(srv)
		}
		r.later(time.Until(check.until)+rollbackWithin, func() {
			s.oracle.judgeVersion(check, s.rolloutState(check.service))
			s.rolling.Store(false)
		})
		return
	}
	r.later(verdictLooks, func() { r.awaitVerdict(check) })
}

// leave drains a server for which none comes.
func (r *runner) leave(srv *server) {
	r.site.record(srv, objects.Draining)
	r.later(drainTimeout+2*time.Second, func() {
		r.site.store.Remove("servers", srv.ID)
		srv.Close()
	})
}

// rolloutState returns what the store holds of the order for a service.
func (s *site) rolloutState(service string) string {
	var status objects.RolloutStatus
	raw := s.store.Status("rollouts", service)
	if raw == nil || json.Unmarshal(raw, &status) != nil {
		return ""
	}
	return status.State
}

// badAnswer counts a bad answer of a version.
func (o *oracle) badAnswer(check *versionCheck) {
	o.mu.Lock()
	defer o.mu.Unlock()
	check.answeredBadly++
	if check.answeredBadly == badAnswers {
		check.fiftiethAt = time.Now()
	}
}

// ruled notes the verdict of a rollout.
func (o *oracle) ruled(check *versionCheck, verdict string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	check.verdict = verdict
	if verdict == "succeeded" && !check.isBad() {
		o.checks["SUCCEEDED"]++
	}
}

// judgeExposure counts a request that reaches a server while a version of its service is brought in. The caller
// holds mu.
func (o *oracle) judgeExposure(a *attempt, v origin.Arrival) {
	srv := o.servers[v.Server.ID]
	for _, check := range o.versions {
		if srv == nil || check.service != v.Server.Service {
			continue
		}
		if v.At.Before(check.until) {
			check.all++
		}
		if srv.version != check.version || !check.isBad() || check.forgotten || !o.inTouch(a.instance, v.At) {
			continue
		}
		o.checks["EXPOSURE"]++
		if v.At.Before(check.until) {
			check.atNew++
		}
		if !check.fiftiethAt.IsZero() && v.At.Sub(check.fiftiethAt) > rollbackWithin && !check.late {
			check.late = true
			o.broken("EXPOSURE", "%s of %s got a request from %s %.2f s after its fiftieth bad answer", check.version, check.service, a.instance, v.At.Sub(check.fiftiethAt).Seconds())
		}
	}
}

// judgeVersion judges a rollout whose time is over. What the store holds then must be what it held first.
func (o *oracle) judgeVersion(check *versionCheck, state string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if check.forgotten {
		return
	}
	o.checks["VERDICT"]++
	if check.verdict != "" && check.verdict != "running" && state != check.verdict {
		o.broken("VERDICT", "the rollout of %s of %s was %s and is %s", check.version, check.service, check.verdict, state)
	}
	if check.isBad() && float64(check.atNew) > exposedShare*float64(check.all)+exposedSlack {
		o.broken("EXPOSURE", "%s of %s (quality %d) got %d of %d requests", check.version, check.service, check.quality, check.atNew, check.all)
	}
}
