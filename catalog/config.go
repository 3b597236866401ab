package catalog

import (
	"time"

	"github.com/rainford/rainford/internal/mix"
)

// Version is the version of a configuration. Later configurations have higher versions, and
// 0 means that there is none.
type Version int64

// Config is a complete configuration.
type Config struct {
	Version  Version
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Accounts are the client accounts.
	Accounts []Account
	// RequiresKey states that requests have to carry the key of an account, except on
	// anonymous routes.
	RequiresKey bool
}

// RouteKind states whether the requests of a route may be retried.
type RouteKind string

// Kinds of routes. An unknown kind is treated as NonIdempotent.
const (
	// Idempotent requests may run more than once.
	Idempotent RouteKind = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent RouteKind = "unsafe"
	// Upload requests have large bodies and run at most once.
	Upload RouteKind = "upload"
)

// Route describes how requests are served whose host is Host and whose path begins with
// Prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Timeout bounds the time that an instance spends on a request. 0 means no bound.
	Timeout time.Duration
	// LatencyObjective is the time within which a response has its full value to the
	// client. 0 means that the route has no objective.
	LatencyObjective time.Duration
	// Priority is the priority of the requests, where 0 is the most urgent.
	Priority int
	// MaxAttempts is the maximum number of targets that a request is sent to.
	MaxAttempts int
	// Services are the services that run the route's requests.
	Services []WeightedService
	// Regions are the home regions, in which the requests have to run. An empty list
	// allows all regions.
	Regions []string
	// Anonymous states that requests need no key of a client account.
	Anonymous bool
}

// WeightedService is a service of a route. It gets a fraction of the route's requests that is
// proportional to Weight.
type WeightedService struct {
	Service string
	Weight  float64
}

// ServiceFor returns the service that runs a request. It chooses among the route's services
// by weight and by a hash of the request ID, so that all instances choose the same service
// for a request. It returns "" if the route has no services.
func (r *Route) ServiceFor(requestID string) string {
	if len(r.Services) == 0 {
		return ""
	}
	total := 0.0
	for _, s := range r.Services {
		total += s.Weight
	}
	point := mix.Unit(mix.Pair(requestID, "part")) * total
	for _, s := range r.Services {
		point -= s.Weight
		if point < 0 {
			return s.Service
		}
	}
	return r.Services[len(r.Services)-1].Service
}

// Service holds the settings that all targets of a service share.
type Service struct {
	Name string
	// HealthPath is the URL path of the targets' health check.
	HealthPath string
	// MaxConnections is the number of connections that a target accepts from all
	// instances together.
	MaxConnections int
	// Warmup is the time for which a target is cold after a start.
	Warmup time.Duration
	// WarmupRate is the number of requests per second that a cold target admits.
	WarmupRate float64
}

// Limits are the limits on the requests and connections of clients: the bytes of a header
// and a body, the time until a header is complete, and the time for which a connection may
// be idle. 0 means that the configuration sets no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
