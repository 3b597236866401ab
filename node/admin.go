package node

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/rainford/rainford/member"
	"github.com/rainford/rainford/protocol"
	"github.com/rainford/rainford/share"
)

// URL paths of the operators' listener.
const (
	StatusPath  = "/v1/status"
	LivePath    = "/healthz"
	ReadyPath   = "/readyz"
	MetricsPath = "/metrics"
)

// Status is the state of an instance as the status endpoint returns it to operators.
type Status struct {
	Instance          member.Instance  `json:"instance"`
	Ready             bool             `json:"ready"`
	Leaving           bool             `json:"leaving"`
	Version           int64            `json:"version"`
	Seats             int              `json:"seats"`
	LeaseMs           int64            `json:"lease_ms"`
	Loads             []member.Load    `json:"loads"`
	Rows              []share.RowState `json:"rows"`
	Blocks            int              `json:"blocks"`
	Peers             []PeerStatus     `json:"peers"`
	PeerBytesSent     int64            `json:"peer_bytes_sent"`
	PeerBytesReceived int64            `json:"peer_bytes_received"`
}

// PeerStatus is the state of another instance as this instance sees it.
type PeerStatus struct {
	ID      string       `json:"id"`
	Hall    string       `json:"hall"`
	State   member.State `json:"state"`
	Version int64        `json:"version"`
}

func (n *Node) adminMux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+LivePath, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET "+ReadyPath, n.handleReady)
	mux.HandleFunc("GET "+StatusPath, n.handleStatus)
	mux.Handle("GET "+MetricsPath, n.metrics.Handler())
	return mux
}

func (n *Node) handleReady(w http.ResponseWriter, _ *http.Request) {
	n.mu.Lock()
	leaving := n.leaving
	n.mu.Unlock()
	switch {
	case leaving:
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case n.plan.Load() == nil:
		http.Error(w, "not ready: no table in force yet", http.StatusServiceUnavailable)
	case !n.targetsOK.Load():
		http.Error(w, "not ready: the hall's targets are not known yet", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ready\n"))
	}
}

func (n *Node) handleStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, n.Status())
}

// Status returns the instance's state.
func (n *Node) Status() Status {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	sent, received, _ := n.mesh.Traffic()
	out := Status{
		Instance:          n.self,
		Ready:             n.ready(),
		Leaving:           n.leaving,
		Version:           n.Version(),
		Seats:             len(n.agent.Held(now)),
		LeaseMs:           max(n.agent.LeaseEnd().Sub(now).Milliseconds(), 0),
		Loads:             n.hall.Loads(now),
		Rows:              n.ledger.States(now),
		Blocks:            n.blocks.Len(),
		PeerBytesSent:     sent,
		PeerBytesReceived: received,
	}
	for _, s := range n.view.All(now) {
		out.Peers = append(out.Peers, PeerStatus{ID: s.ID, Hall: s.Hall, State: s.State, Version: s.Config})
	}
	return out
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(body, '\n'))
}

// handleLookup returns the instances that the caller should use.
func (n *Node) handleLookup(w http.ResponseWriter, r *http.Request) {
	plan := n.plan.Load()
	dir := n.directory.Load()
	if plan == nil || dir == nil {
		refuse(w, http.StatusServiceUnavailable, protocol.ReasonNotReady, "no table in force yet", n.Jitter(time.Second))
		return
	}
	service := r.URL.Query().Get("service")
	if _, ok := plan.Service(service); !ok {
		refuse(w, http.StatusNotFound, protocol.ReasonNoService, "no service by that name", 0)
		return
	}
	addr, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		refuse(w, http.StatusBadRequest, protocol.ReasonBadRequest, err.Error(), 0)
		return
	}
	n.metrics.Lookup()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(dir.Find(addr.Addr()))
}

func refuse(w http.ResponseWriter, status int, reason protocol.Reason, detail string, wait time.Duration) {
	protocol.SetRetryAfter(w.Header(), wait)
	writeJSON(w, status, protocol.Refusal{
		Outcome:          "not-run",
		Reason:           reason,
		Detail:           detail,
		RetryAfterMillis: wait.Milliseconds(),
	})
}
