package gateway

import (
	"context"
	"log/slog"
	"time"

	"github.com/rainford/rainford/fleet"
)

// The messages of the log lines. docs/OPERATIONS.md lists their fields.
const (
	logStart         = "start"
	logLeaving       = "leaving"
	logStop          = "stop"
	logReload        = "reload"
	logReloadRefused = "reload refused"
	logRequest       = "request"
	logConfig        = "configuration in force"
	logConfigRefused = "configuration refused"
	logConfigOld     = "configuration is not newer"
	logTarget        = "target"
	logTargets       = "targets"
	logTargetRefused = "target refused"
	logTargetGone    = "target gone"
	logTargetLapsed  = "target lapsed"
	logTargetBelief  = "target belief"
	logEvacuation    = "evacuation"
	logTable         = "table in force"
	logTableRefused  = "table refused"
	logMember        = "member"
	logWatching      = "watching"
	logStoreLost     = "store lost"
	logStoreRegained = "store regained"
	logHistoryGone   = "history gone"
	logNotRegistered = "not registered"
)

// RequestMessage is the message of the line of a request, by which logs are
// thinned out under load.
const RequestMessage = logRequest

// reporter logs what changes in the view of the fleet.
type reporter struct {
	states   map[string]fleet.State
	watching bool
}

// report logs what has changed since the last call. The caller holds mu.
func (g *Gateway) report(now time.Time, watching bool) {
	if g.reported.states == nil {
		g.reported.states = make(map[string]fleet.State)
	}
	for _, s := range g.view.All(now) {
		if s.Name == g.config.Name || g.reported.states[s.Name] == s.State {
			continue
		}
		level := slog.LevelInfo
		if s.State == fleet.Suspect {
			level = slog.LevelWarn
		}
		g.log.Log(context.Background(), level, logMember, "member", s.Name, "hall", s.Hall, "state", s.State, "before", g.reported.states[s.Name])
		g.reported.states[s.Name] = s.State
	}
	if watching != g.reported.watching {
		g.reported.watching = watching
		g.log.Info(logWatching, "watching", watching)
	}
}

// newsAge is the time since the store or another instance was last heard.
func (g *Gateway) newsAge(now time.Time) time.Duration {
	at := g.heardAt.Load()
	if at == 0 {
		return -1
	}
	return now.Sub(time.Unix(0, at))
}

func (g *Gateway) heardNews(now time.Time) { g.heardAt.Store(now.UnixNano()) }
