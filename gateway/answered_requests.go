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
	// maxAnsweredRequests is the number of answered requests that are remembered, in each of two
	// generations: 0.6 MB in all.
	maxAnsweredRequests = 8192
	// maxRememberedBody is the length of a body up to which a request is remembered: a digest of
	// 4 kB costs 4 µs, and requests with long bodies seldom come again.
	maxRememberedBody = 4 << 10
	// maxSentAnswers bounds the answered requests of an account that others are told of: 8 kB.
	// In a fleet of more than directMembers they are the instances of the own hall, of which
	// the clients of a hall use any.
	maxSentAnswers = 1024
	// answersSendInterval is the least time between two times that others are told of the same
	// account's.
	answersSendInterval = 10 * time.Minute
)

// answeredRequest is a request that a target has answered: the hash of its account, and the
// first part of its digest.
type answeredRequest struct {
	account uint32
	digest  uint64
}

func answeredRequestOf(account string, d quarantine.Digest) answeredRequest {
	return answeredRequest{account: quarantine.AccountHash(account), digest: binary.BigEndian.Uint64(d[:])}
}

// accountHistory is what became here of the requests of an account that were not known to be answered,
// while anything is known of requests that end targets.
type accountHistory struct {
	since             time.Time
	answered, crashes int
}

const (
	// accountHistoryWindow is for how long a conduct is counted before it begins anew.
	accountHistoryWindow = time.Minute
	// answersPerCrash is the number of answered unknown requests for each target that ended from
	// which on an account is let alone here: it was there when targets ended for another
	// reason. A flood of requests that end their targets has next to none.
	answersPerCrash = 3
)

// answeredRequests are the requests of accounts that targets have answered of late. They go on as
// usual while their account is held. It is safe for concurrent use.
type answeredRequests struct {
	mu                sync.Mutex
	current, previous map[answeredRequest]struct{}
	histories         map[uint32]*accountHistory
	// sentAt is when others were last told of those of an account.
	sentAt map[uint32]time.Time
}

// historyOf returns the conduct of an account, a new one if there is none or it is old. The caller
// holds mu.
func (a *answeredRequests) historyOf(now time.Time, account uint32) *accountHistory {
	c := a.histories[account]
	if c == nil || now.Sub(c.since) >= accountHistoryWindow {
		c = &accountHistory{since: now}
		if a.histories == nil {
			a.histories = make(map[uint32]*accountHistory)
		}
		a.histories[account] = c
	}
	return c
}

// recordAnswer counts an answered request of which it was not known that it is.
func (a *answeredRequests) recordAnswer(now time.Time, account uint32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.historyOf(now, account).answered++
}

// recordCrash counts a target that ended under a request of an account.
func (a *answeredRequests) recordCrash(now time.Time, account uint32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.historyOf(now, account).crashes++
}

// isTrusted tells whether an account's unknown requests are answered here as a rule.
func (a *answeredRequests) isTrusted(now time.Time, account uint32) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.historyOf(now, account)
	return c.answered >= answersPerCrash*max(1, c.crashes)
}

func (a *answeredRequests) add(r answeredRequest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.current) >= maxAnsweredRequests {
		a.previous, a.current = a.current, nil
	}
	if a.current == nil {
		a.current = make(map[answeredRequest]struct{})
	}
	a.current[r] = struct{}{}
}

func (a *answeredRequests) has(r answeredRequest) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, now := a.current[r]
	_, older := a.previous[r]
	return now || older
}

// takeUnsent returns those of an account, if it is time to tell others of them.
func (a *answeredRequests) takeUnsent(now time.Time, account uint32) []uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at, ok := a.sentAt[account]; ok && now.Sub(at) < answersSendInterval {
		return nil
	}
	if a.sentAt == nil {
		a.sentAt = make(map[uint32]time.Time)
	}
	a.sentAt[account] = now
	var out []uint64
	for _, generation := range []map[answeredRequest]struct{}{a.current, a.previous} {
		for r := range generation {
			if r.account == account && len(out) < maxSentAnswers {
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
	for account, at := range a.sentAt {
		if now.Sub(at) >= answersSendInterval {
			delete(a.sentAt, account)
		}
	}
	for account, c := range a.histories {
		if now.Sub(c.since) >= accountHistoryWindow {
			delete(a.histories, account)
		}
	}
}

// sendAnsweredRequests tells others which requests of a flagged account have been answered here: they are
// not to wait for a trial there.
func (g *Gateway) sendAnsweredRequests(now time.Time, d quarantine.Digest) {
	account, ok := d.Account()
	if !ok {
		return
	}
	digests := g.quarantine.answered.takeUnsent(now, account)
	if len(digests) == 0 {
		return
	}
	message := &peer.AnsweredRequests{Account: account, Digests: digests}
	g.mu.Lock()
	defer g.mu.Unlock()
	all := g.view.Len() <= maxDirectRecipients
	for _, s := range g.view.Others(now) {
		if s.State == fleet.Alive && (all || s.Hall == g.config.Hall) {
			g.mesh.Send(s.PeerAddr, message)
		}
	}
}

// receiveAnsweredRequests takes in which requests of an account another instance has had answered.
func (g *Gateway) receiveAnsweredRequests(m *peer.AnsweredRequests) {
	for _, digest := range m.Digests[:min(len(m.Digests), maxSentAnswers)] {
		g.quarantine.answered.add(answeredRequest{account: m.Account, digest: digest})
	}
}
