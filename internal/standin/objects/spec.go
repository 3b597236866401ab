package objects

import "fmt"

// The specs of the kinds that operators and servers write, in the words of the users'
// pages.

// Kinds and names of objects.
const (
	KindConfig      = "config"
	ConfigName      = "main"
	KindServers     = "servers"
	KindEvacuations = "evacuations"
)

// Configuration is the spec of the configuration.
type Configuration struct {
	Version  string             `json:"version"`
	Routes   map[string]Route   `json:"routes"`
	Services map[string]Service `json:"services"`
	Limits   Limits             `json:"limits"`
	// Tenants are nil where the configuration has none.
	Tenants map[string]Tenant `json:"tenants"`
}

// Tenant is one tenant of a configuration.
type Tenant struct {
	APIKeys        []string `json:"apiKeys"`
	Priority       int      `json:"priority"`
	RatePerS       float64  `json:"ratePerS,omitempty"`
	Burst          float64  `json:"burst,omitempty"`
	AllowedRegions []string `json:"allowedRegions"`
}

// Route is one route of a configuration. Times are texts such as "2s".
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

// Service is one service of a configuration.
type Service struct {
	HealthCheckPath string  `json:"healthCheckPath"`
	MaxConnections  int     `json:"maxConnections"`
	Warmup          string  `json:"warmup"`
	WarmupPerS      float64 `json:"warmupPerS"`
}

// Limits bound what clients may send.
type Limits struct {
	MaxHeaderBytes int    `json:"maxHeaderBytes,omitempty"`
	MaxBodyBytes   int    `json:"maxBodyBytes,omitempty"`
	HeaderTimeout  string `json:"headerTimeout,omitempty"`
	IdleTimeout    string `json:"idleTimeout,omitempty"`
}

// Server is a server's entry.
type Server struct {
	Service         string `json:"service"`
	Address         string `json:"address"`
	Zone            string `json:"zone"`
	Version         string `json:"version"`
	Slots           int    `json:"slots"`
	State           string `json:"state"`
	WarmupRemaining string `json:"warmupRemaining"`
	Sequence        int    `json:"sequence"`
	// StartUnixMilli is the Unix millisecond of the server's start, 0 where it is not told.
	StartUnixMilli int64 `json:"born,omitempty"`
}

// The states of a server.
const (
	Ready    = "ready"
	Draining = "draining"
)

// FormatVersion is how a version is written.
func FormatVersion(version int) string { return fmt.Sprintf("r%d", version) }

// Configure writes a configuration.
func (s *Store) Configure(c Configuration) int64 { return s.Set(KindConfig, ConfigName, c) }

// SetServer writes a server's entry.
func (s *Store) SetServer(id string, server Server) int64 { return s.Set(KindServers, id, server) }

// Evacuate asks for a zone to be emptied.
func (s *Store) Evacuate(zone string) int64 {
	return s.Set(KindEvacuations, zone, struct{}{})
}

// CancelEvacuation takes an emptied zone back.
func (s *Store) CancelEvacuation(zone string) { s.Remove(KindEvacuations, zone) }

// Rollout is the order to bring in a version of a service.
type Rollout struct {
	Service       string `json:"service"`
	TargetVersion string `json:"targetVersion"`
	Duration      string `json:"duration"`
}

// RolloutStatus is what the system says of such an order.
type RolloutStatus struct {
	State         string `json:"state"`
	TargetVersion string `json:"targetVersion"`
}
