package gateway

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/rainford/rainford/fleet"
	"github.com/rainford/rainford/peer"
	"github.com/rainford/rainford/quarantine"
)

const (
	// maxAnswered is the number of answered requests that are remembered, in each of two
	// generations: 0.6 MB in all.
	maxAnswered = 8192
	// maxAnsweredBody is the length of a body up to which a request is remembered: a digest of
	// 4 kB costs 4 µs, and requests with long bodies seldom come again.
	maxAnsweredBody = 4 << 10
	// maxToldAnswers bounds the answered requests of an account that others are told of: 8 kB.
	// In a fleet of more than directMembers they are the instances of the own hall, of which
	// the clients of a hall use any.
	maxToldAnswers = 1024
	// answersPause is the least time between two times that others are told of the same
	// account's.
	answersPause = 10 * time.Minute
)

// answeredRequest is a request that a target has answered: the hash of its account, and the
// first part of its digest.
type answeredRequest struct {
	account uint32
	digest  uint64
}

func answeredOf(account string, d quarantine.Digest) answeredRequest {
	return answeredRequest{account: quarantine.AccountHash(account), digest: binary.BigEndian.Uint64(d[:])}
}

// conduct is what became here of the requests of an account that were not known to be answered,
// while anything is known of requests that end targets.
type conduct struct {
	since           time.Time
	answered, ended int
}

const (
	// conductTime is for how long a conduct is counted before it begins anew.
	conductTime = time.Minute
	// answersPerEnd is the number of answered unknown requests for each target that ended from
	// which on an account is let alone here: it was there when targets ended for another
	// reason. A flood of requests that end their targets has next to none.
	answersPerEnd = 3
)

// answeredRequests are the requests of accounts that targets have answered of late. They go on as
// usual while their account is held. It is safe for concurrent use.
type answeredRequests struct {
	mu         sync.Mutex
	now, older map[answeredRequest]struct{}
	conducts   map[uint32]*conduct
	// toldAt is when others were last told of those of an account.
	toldAt map[uint32]time.Time
}

// conductOf returns the conduct of an account, a new one if there is none or it is old. The caller
// holds mu.
func (a *answeredRequests) conductOf(now time.Time, account uint32) *conduct {
	c := a.conducts[account]
	if c == nil || now.Sub(c.since) >= conductTime {
		c = &conduct{since: now}
		if a.conducts == nil {
			a.conducts = make(map[uint32]*conduct)
		}
		a.conducts[account] = c
	}
	return c
}

// answered counts an answered request of which it was not known that it is.
func (a *answeredRequests) answered(now time.Time, account uint32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conductOf(now, account).answered++
}

// ended counts a target that ended under a request of an account.
func (a *answeredRequests) ended(now time.Time, account uint32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conductOf(now, account).ended++
}

// isSound tells whether an account's unknown requests are answered here as a rule.
func (a *answeredRequests) isSound(now time.Time, account uint32) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.conductOf(now, account)
	return c.answered >= answersPerEnd*max(1, c.ended)
}

func (a *answeredRequests) add(r answeredRequest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.now) >= maxAnswered {
		a.older, a.now = a.now, nil
	}
	if a.now == nil {
		a.now = make(map[answeredRequest]struct{})
	}
	a.now[r] = struct{}{}
}

func (a *answeredRequests) has(r answeredRequest) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, now := a.now[r]
	_, older := a.older[r]
	return now || older
}

// toTell returns those of an account, if it is time to tell others of them.
func (a *answeredRequests) toTell(now time.Time, account uint32) []uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at, ok := a.toldAt[account]; ok && now.Sub(at) < answersPause {
		return nil
	}
	if a.toldAt == nil {
		a.toldAt = make(map[uint32]time.Time)
	}
	a.toldAt[account] = now
	var out []uint64
	for _, generation := range []map[answeredRequest]struct{}{a.now, a.older} {
		for r := range generation {
			if r.account == account && len(out) < maxToldAnswers {
				out = append(out, r.digest)
			}
		}
	}
	return out
}

// expire forgets when others were told.
func (a *answeredRequests) expire(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for account, at := range a.toldAt {
		if now.Sub(at) >= answersPause {
			delete(a.toldAt, account)
		}
	}
	for account, c := range a.conducts {
		if now.Sub(c.since) >= conductTime {
			delete(a.conducts, account)
		}
	}
}

// tellAnswers tells others which requests of a flagged account have been answered here: they are
// not to wait for a trial there.
func (g *Gateway) tellAnswers(now time.Time, d quarantine.Digest) {
	account, ok := d.Account()
	if !ok {
		return
	}
	digests := g.holds.answers.toTell(now, account)
	if len(digests) == 0 {
		return
	}
	message := &peer.AnsweredRequests{Account: account, Digests: digests}
	g.mu.Lock()
	defer g.mu.Unlock()
	all := g.view.Len() <= directMembers
	for _, s := range g.view.Others(now) {
		if s.State == fleet.Alive && (all || s.Hall == g.config.Hall) {
			g.mesh.Send(s.PeerAddr, message)
		}
	}
}

// receiveAnswers takes in which requests of an account another instance has had answered.
func (g *Gateway) receiveAnswers(m *peer.AnsweredRequests) {
	for _, digest := range m.Digests[:min(len(m.Digests), maxToldAnswers)] {
		g.holds.answers.add(answeredRequest{account: m.Account, digest: digest})
	}
}
