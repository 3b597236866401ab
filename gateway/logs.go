package gateway

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/rainford/rainford/fleet"
)

// Messages of log lines. docs/OPERATIONS.md lists their fields.
const (
	logStart                  = "start"
	logLeaving                = "leaving"
	logStop                   = "stop"
	logReload                 = "reload"
	logReloadRefused          = "reload refused"
	logRequest                = "request"
	logConfig                 = "configuration in force"
	logConfigRefused          = "configuration refused"
	logConfigOld              = "configuration is not newer"
	logTarget                 = "target"
	logTargets                = "targets"
	logTargetRefused          = "target refused"
	logEntriesUnreadable      = "entries without a readable name"
	logTargetsRefused         = "targets refused"
	logTargetOld              = "target is not newer"
	logTargetOlder            = "target entry is older than the known one"
	logTargetFromBackup       = "target is as in the store's copy"
	logTargetGone             = "target gone"
	logTargetExpired          = "target lapsed"
	logTargetEvent            = "target belief"
	logTargetEvents           = "target beliefs"
	logTargetsLost            = "targets lost"
	logTargetsRegained        = "targets regained"
	logHallLost               = "hall lost"
	logHallRegained           = "hall regained"
	logIsolated               = "isolated"
	logNotIsolated            = "not isolated"
	logHandoverRejected       = "handover rejected"
	logAcceptFailed           = "accept failed"
	logRollout                = "rollout"
	logRolloutRefused         = "rollout refused"
	logRolloutLeads           = "rollout led here"
	logRolloutVerdict         = "rollout verdict known elsewhere"
	logRolloutStage           = "rollout stage"
	logRolloutState           = "rollout state written"
	logEvacuation             = "evacuation"
	logTable                  = "table in force"
	logShares                 = "shares"
	logTableRefused           = "table refused"
	logMember                 = "member"
	logMembers                = "members"
	logLookupComposition      = "look-up composition"
	logOverloaded             = "overload"
	logWatching               = "watching"
	logStoreLost              = "store lost"
	logWatchMissed            = "watch missed changes"
	logStoreRegained          = "store regained"
	logHistoryGone            = "history gone"
	logStoreEra               = "store era"
	logListBehind             = "list ends before the replica"
	logNotRegistered          = "not registered"
	logDeltaRefused           = "delta refused"
	logDeltaGap               = "delta leaves a gap"
	logDeltaRequestUnanswered = "question not answered"
	logDeltaLate              = "question answered late"
	logReplicaDiffers         = "replica differs"
	logReplicaVerified        = "replica listed again"
	logProcessPaused          = "was away"
	logNotReceivedByPeer      = "not heard by another instance"
	logTargetLimit            = "target limit"
	logTargetLimits           = "target limits"
	logTargetCrashed          = "target ended"
	logRequestHeld            = "request held"
	logRequestReleased        = "request freed"
	logAccountHeld            = "account held"
	logAccountReleased        = "account freed"
	logObjectsLost            = "own objects lost by the store"
	logRecordNotStored        = "held request not kept"
	logStoredRecordRefused    = "held request refused"

	logChangeLost          = "change of the table lost"
	logObjectRewritten     = "own object written again"
	logObjectsNotRewritten = "own objects not written again"

	logStatusNotSent      = "status not sent"
	logInstanceRefused    = "instance refused"
	logInstanceRemoved    = "instance forgotten"
	logInstanceNotRemoved = "instance not forgotten"
)

// RequestMessage is the message of the log line of a request. Under load, log handlers may drop
// lines with this message.
const RequestMessage = logRequest

// maxMemberLines is the number of state changes of members up to which a round of gossip logs each
// of them in its own line. A larger number is logged in one line, which bounds the log whatever
// the size of the fleet, for example when a hall is lost or all instances start.
const maxMemberLines = 4

// maxNamedMembers bounds the members that the line on many changes names.
const maxNamedMembers = 8

// reporter holds the states of the members as they were last logged.
type reporter struct {
	states   map[string]fleet.State
	watching bool
}

// memberChange is a member whose state has changed, with the state before.
type memberChange struct {
	fleet.Status
	before fleet.State
}

// changes returns the members whose state differs from the one that was last returned. It leaves
// out members whose state is unknown.
func (r *reporter) changes(members []fleet.Status) []memberChange {
	if r.states == nil {
		r.states = make(map[string]fleet.State)
	}
	var out []memberChange
	for _, s := range members {
		before := r.states[s.Name]
		if s.State == before || s.State == fleet.Unknown {
			continue
		}
		r.states[s.Name] = s.State
		out = append(out, memberChange{Status: s, before: before})
	}
	return out
}

// logMemberChanges logs the changes of members' states, and of whether this instance watches,
// since the last call. The caller holds mu.
func (g *Gateway) logMemberChanges(now time.Time, watching bool) {
	changes := g.reporter.changes(g.view.Others(now))
	if len(changes) > maxMemberLines {
		g.logMemberSummary(changes)
	} else {
		for _, c := range changes {
			g.log.Log(context.Background(), memberLevel(c.State), logMember, "member", c.Name, "hall", c.Hall, "state", c.State, "before", c.before)
		}
	}
	if watching != g.reporter.watching {
		g.reporter.watching = watching
		g.log.Info(logWatching, "watching", watching)
	}
}

// logMemberSummary logs many changes in one line, which holds the number of members for each new
// state and the names of some members, suspected ones first.
func (g *Gateway) logMemberSummary(changes []memberChange) {
	slices.SortStableFunc(changes, func(a, b memberChange) int {
		return cmp.Compare(memberLevel(b.State), memberLevel(a.State))
	})
	counts := make(map[fleet.State]int)
	var named []string
	for _, c := range changes {
		counts[c.State]++
		if len(named) < maxNamedMembers {
			named = append(named, c.Name+"="+string(c.State))
		}
	}
	g.log.Log(context.Background(), memberLevel(changes[0].State), logMembers, "changes", len(changes),
		"alive", counts[fleet.Alive], "suspect", counts[fleet.Suspect], "leaving", counts[fleet.Stopping], "named", named)
}

func memberLevel(s fleet.State) slog.Level {
	if s == fleet.Suspect {
		return slog.LevelWarn
	}
	return slog.LevelInfo
}

// otherMembers returns the status of all other instances.
func (g *Gateway) otherMembers() []fleet.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view.Others(g.clock.Now())
}

// contactAge returns the time since the last contact with the store or another instance, or -1 ns
// if there has been none.
func (g *Gateway) contactAge(now time.Time) time.Duration {
	at := g.lastContactAt.Load()
	if at == 0 {
		return -1
	}
	return now.Sub(time.Unix(0, at))
}

// recordContact records a contact with the store or another instance.
func (g *Gateway) recordContact(now time.Time) { g.lastContactAt.Store(now.UnixNano()) }
