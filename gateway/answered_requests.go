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
	// maxAnsweredRequests is the number of answered requests that are remembered in each of two
	// generations, 0.6 MB in all.
	maxAnsweredRequests = 8192
	// maxRememberedBody is the longest body of a request that is remembered. A digest of 4 kB takes
	// 4 µs, and requests with longer bodies are seldom repeated.
	maxRememberedBody = 4 << 10
	// maxSentAnswers bounds the answered requests of an account that are sent to other instances in
	// one message: 8 kB. In a fleet of more than maxDirectRecipients instances, the message goes to those
	// of the own hall only, because clients of a hall use any instance of that hall.
	maxSentAnswers = 1024
	// answersSendInterval is the shortest time between two messages with the answered requests of
	// the same account.
	answersSendInterval = 10 * time.Minute
)

// answeredRequest identifies a request that a target has answered, by the hash of its account and
// the first 8 bytes of its digest.
type answeredRequest struct {
	account uint32
	digest  uint64
}

func answeredRequestOf(account string, d quarantine.Digest) answeredRequest {
	return answeredRequest{account: quarantine.AccountHash(account), digest: binary.BigEndian.Uint64(d[:])}
}

// accountHistory counts, for one account, the answered requests that were not known to be answered
// before, and the requests under which a target crashed. It is recorded only while the quarantine
// holds any state.
type accountHistory struct {
	since             time.Time
	answered, crashes int
}

const (
	// accountHistoryWindow is the time after which an account's counts start from zero.
	accountHistoryWindow = time.Minute
	// answersPerCrash is the number of answered requests per recorded crash from which an account
	// is trusted by this instance. Requests of such an account were in flight when targets crashed
	// for another reason. An account that sends a flood of crashing requests has next to no
	// answered ones.
	answersPerCrash = 3
)

// answeredRequests remembers requests of accounts that targets have answered recently. These
// requests are sent as usual while their account is held. It is safe for concurrent use.
type answeredRequests struct {
	mu                sync.Mutex
	current, previous map[answeredRequest]struct{}
	histories         map[uint32]*accountHistory
	// sentAt is the time of the last message with an account's answered requests.
	sentAt map[uint32]time.Time
}

// historyOf returns the history of an account. It starts a new one if there is none or its window
// has ended. The caller holds mu.
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

// recordAnswer counts an answered request that was not known to be answered before.
func (a *answeredRequests) recordAnswer(now time.Time, account uint32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.historyOf(now, account).answered++
}

// recordCrash counts a request of an account under which a target crashed. A target that crashed
// under several requests of the account is counted for each of them.
func (a *answeredRequests) recordCrash(now time.Time, account uint32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.historyOf(now, account).crashes++
}

// isTrusted reports whether the account's requests that were not known before are, as a rule,
// answered at this instance.
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

// takeUnsent returns the digests of an account's answered requests, at most maxSentAnswers. It
// returns nil if there are none, or if an earlier call took them less than answersSendInterval ago,
// whether or not there were any then.
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

// expire drops the send times and histories that are out of date.
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

// sendAnsweredRequests sends the answered requests of a flagged account to other instances, so that
// these requests do not wait for a trial there.
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

// receiveAnsweredRequests records the answered requests of an account that another instance has
// sent.
func (g *Gateway) receiveAnsweredRequests(m *peer.AnsweredRequests) {
	for _, digest := range m.Digests[:min(len(m.Digests), maxSentAnswers)] {
		g.quarantine.answered.add(answeredRequest{account: m.Account, digest: digest})
	}
}
