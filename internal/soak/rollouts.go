package soak

import (
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rainford/rainford/internal/standin/objects"
	"github.com/rainford/rainford/internal/standin/origin"
)

const (
	// rolloutTime is the duration of a rollout, and newPerHall the number of servers of the
	// new version in each hall.
	rolloutTime = 9 * time.Second
	newPerHall  = 2
	// exposedShare and exposedSlack bound the requests of a service that a bad version may
	// receive: a share of all, plus a number. rollbackWithin is how long a bad version may
	// still receive requests after its fiftieth bad answer. badAnswers is that number.
	exposedShare   = 0.1
	exposedSlack   = 50
	badAnswers     = 50
	rollbackWithin = 5 * time.Second
	// verdictPoll is the interval at which the status of the rollout is read.
	verdictPoll = 50 * time.Millisecond
)

// quality is the defect of a version, if any.
type quality int

// The qualities of a version.
const (
	soundVersion quality = iota
	failingVersion
	slowVersion
	failingLater
	failingOnARoute
	qualities
)

// versionCheck checks the rollout of one version.
type versionCheck struct {
	service, version string
	quality          quality
	from, until      time.Time
	// all counts the requests that reached the service during the rollout, and atNew those
	// that connected instances sent to the new version, if it is bad.
	all, atNew int
	// badAnswers counts the bad answers of the version. fiftiethAt is when the fiftieth, by
	// the constant badAnswers, was given.
	badAnswers int
	fiftiethAt time.Time
	reported   bool
	verdict    string
	// verdictAt is when the verdict was last seen in the store.
	verdictAt time.Time
	// lostFor is how long the store has lacked the verdict since its last restore while it accepted
	// writes. lossReported is set once that was reported as a violation.
	lostFor      time.Duration
	lossReported bool
	// stateLost is set if all instances were killed soon after the store lost the state of the
	// rollout. The verdict and the bad answers of the version may then be lost.
	stateLost bool
}

func (c *versionCheck) isBad() bool { return c.quality != soundVersion }

// rollout orders a new version of a service, starts its servers, and performs the platform's
// part once the rollout has ended.
func (r *runner) rollout(f Fault) {
	s := r.site
	service := services[f.Which%len(services)]
	if !s.rolling.CompareAndSwap(false, true) {
		return
	}
	check := &versionCheck{service: service, version: s.nextVersion(), quality: quality(f.How % int(qualities)), from: time.Now(), until: time.Now().Add(rolloutTime)}
	o := s.oracle
	o.mu.Lock()
	o.versions = append(o.versions, check)
	o.mu.Unlock()
	s.store.Remove("rollouts", service)
	s.store.Set("rollouts", service, objects.Rollout{Service: service, TargetVersion: check.version, Duration: rolloutTime.String()})
	for _, p := range places {
		for range newPerHall {
			srv, err := s.addVersion(service, check.version, p)
			if err != nil {
				continue
			}
			r.degrade(srv, check)
		}
	}
	r.awaitVerdict(check)
}

// degrade injects the defect of the version into one of its servers.
func (r *runner) degrade(srv *server, check *versionCheck) {
	var n atomic.Int64
	fails := func(req *http.Request) bool {
		switch check.quality {
		case failingVersion:
			return true
		case failingLater:
			return time.Since(check.from) > rolloutTime/3
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

// awaitVerdict waits for the end of a rollout. After a success it stops the old servers at
// once. After a rollback, or if the rollout has not ended in time, it drains the new servers.
func (r *runner) awaitVerdict(check *versionCheck) {
	s := r.site
	state := s.rolloutState(check)
	if state != "" && state != "running" || time.Now().After(check.until.Add(2*time.Second)) {
		s.oracle.noteVerdict(check, state)
		succeeded := state == "succeeded"
		if succeeded {
			s.setVersion(check.service, check.version)
		} else {
			s.reject(check.version)
		}
		for _, srv := range s.present() {
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
			r.drainOnly(srv)
		}
		r.watchVerdict(check)
		return
	}
	r.later(verdictPoll, func() { r.awaitVerdict(check) })
}

// drainOnly drains a server without a replacement.
func (r *runner) drainOnly(srv *server) {
	r.site.record(srv, objects.Draining)
	r.later(drainTimeout+2*time.Second, func() {
		r.site.store.Remove("servers", srv.ID)
		srv.Close()
	})
}

// badAnswer counts a bad answer of a version.
func (o *oracle) badAnswer(check *versionCheck) {
	o.mu.Lock()
	defer o.mu.Unlock()
	check.badAnswers++
	if check.badAnswers == badAnswers {
		check.fiftiethAt = time.Now()
	}
}

// judgeExposure counts a request that reaches a server of a service with a rollout, and checks
// that a bad version receives none later than rollbackWithin after its fiftieth bad answer.
// The caller holds mu.
func (o *oracle) judgeExposure(a *attempt, v origin.Arrival) {
	srv := o.servers[v.Server.ID]
	for _, check := range o.versions {
		if srv == nil || check.service != v.Server.Service {
			continue
		}
		if v.At.Before(check.until) {
			check.all++
		}
		if srv.version != check.version || !check.isBad() || check.stateLost || !o.senderConnected(o.senderOf(a, v.At), v.At) {
			continue
		}
		o.checks["EXPOSURE"]++
		if v.At.Before(check.until) {
			check.atNew++
		}
		if !check.fiftiethAt.IsZero() && v.At.Sub(check.fiftiethAt) > rollbackWithin && !check.reported {
			check.reported = true
			o.violated("EXPOSURE", "%s of %s got a request from %s %.2f s after its fiftieth bad answer", check.version, check.service, a.instance, v.At.Sub(check.fiftiethAt).Seconds())
		}
	}
}

// judgeVersion checks a rollout after its end. The store must still hold the first verdict.
func (o *oracle) judgeVersion(check *versionCheck, state string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if check.stateLost {
		return
	}
	o.checks["VERDICT"]++
	if check.verdict != "" && check.verdict != "running" && state != check.verdict {
		o.violated("VERDICT", "the verdict of the rollout of %s of %s changed from %q to %q", check.version, check.service, check.verdict, state)
	}
	if check.isBad() && float64(check.atNew) > exposedShare*float64(check.all)+exposedSlack {
		o.violated("EXPOSURE", "%s of %s (quality %d) got %d of %d requests", check.version, check.service, check.quality, check.atNew, check.all)
	}
}
