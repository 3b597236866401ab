package objects

import "fmt"

// The types in this file are the specs of objects that the operator and the targets write, in the
// platform's own vocabulary.

// Kinds and names of objects.
const (
	KindConfig      = "config"
	ConfigName      = "main"
	KindServers     = "servers"
	KindEvacuations = "evacuations"
)

// Configuration is the spec of the object with the routes, services, limits and tenants.
type Configuration struct {
	Version  string             `json:"version"`
	Routes   map[string]Route   `json:"routes"`
	Services map[string]Service `json:"services"`
	Limits   Limits             `json:"limits"`
	// Tenants is nil if the configuration has no tenants.
	Tenants map[string]Tenant `json:"tenants"`
}

// Tenant is the configuration of a client account.
type Tenant struct {
	APIKeys        []string `json:"apiKeys"`
	Priority       int      `json:"priority"`
	RatePerS       float64  `json:"ratePerS,omitempty"`
	Burst          float64  `json:"burst,omitempty"`
	AllowedRegions []string `json:"allowedRegions"`
}

// Route maps requests by host and path prefix to a service. Durations have the form of time.ParseDuration,
// such as "2s".
type Route struct {
	Host           string   `json:"host"`
	PathPrefix     string   `json:"pathPrefix"`
	RouteType      string   `json:"routeType"`
	Timeout        string   `json:"timeout"`
	TargetLatency  string   `json:"targetLatency"`
	Priority       int      `json:"priority"`
	Service        string   `json:"service"`
	MaxAttempts    int      `json:"maxAttempts"`
	StickySessions bool     `json:"stickySessions"`
	AllowedRegions []string `json:"allowedRegions"`
	AllowAnonymous bool     `json:"allowAnonymous,omitempty"`
}

// Service configures the targets of a service. Warmup is the duration of the slow start, with at most
// WarmupPerS requests per second.
type Service struct {
	HealthCheckPath string  `json:"healthCheckPath"`
	MaxConnections  int     `json:"maxConnections"`
	Warmup          string  `json:"warmup"`
	WarmupPerS      float64 `json:"warmupPerS"`
}

// Limits bounds the sizes and the time-outs of clients' requests. Zero values are omitted.
type Limits struct {
	MaxHeaderBytes int    `json:"maxHeaderBytes,omitempty"`
	MaxBodyBytes   int    `json:"maxBodyBytes,omitempty"`
	HeaderTimeout  string `json:"headerTimeout,omitempty"`
	IdleTimeout    string `json:"idleTimeout,omitempty"`
}

// Server is the spec of a target's object.
type Server struct {
	Service         string `json:"service"`
	Address         string `json:"address"`
	Zone            string `json:"zone"`
	Version         string `json:"version"`
	Slots           int    `json:"slots"`
	State           string `json:"state"`
	WarmupRemaining string `json:"warmupRemaining"`
	Sequence        int    `json:"sequence"`
	// StartUnixMilli is the time of the target's start in Unix milliseconds, or 0 if it is not given.
	StartUnixMilli int64 `json:"born,omitempty"`
}

// The states of a target.
const (
	Ready    = "ready"
	Draining = "draining"
)

// FormatVersion returns the name of a version, such as "r3".
func FormatVersion(version int) string { return fmt.Sprintf("r%d", version) }

// Configure writes the configuration and returns the revision.
func (s *Store) Configure(c Configuration) int64 { return s.Set(KindConfig, ConfigName, c) }

// SetServer writes the object of a target and returns the revision.
func (s *Store) SetServer(id string, server Server) int64 { return s.Set(KindServers, id, server) }

// Evacuate requests the evacuation of a hall and returns the revision.
func (s *Store) Evacuate(zone string) int64 {
	return s.Set(KindEvacuations, zone, struct{}{})
}

// CancelEvacuation ends the evacuation of a hall.
func (s *Store) CancelEvacuation(zone string) { s.Remove(KindEvacuations, zone) }

// Rollout is the spec of a rollout order: the version of a service to roll out, and over what time.
type Rollout struct {
	Service       string `json:"service"`
	TargetVersion string `json:"targetVersion"`
	Duration      string `json:"duration"`
}

// RolloutStatus is the status that the system writes for a rollout order.
type RolloutStatus struct {
	State         string `json:"state"`
	TargetVersion string `json:"targetVersion"`
}
