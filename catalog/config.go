package catalog

import (
	"time"

	"github.com/rainford/rainford/internal/mix"
)

// Version orders configurations. 0 stands for none.
type Version int64

// Config is one whole configuration.
type Config struct {
	Version  Version
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Accounts are the client accounts. NeedsKey says that requests have to carry the
	// key of one, but for those on anonymous routes.
	Accounts    []Account
	RequiresKey bool
}

// RouteKind says what may be repeated.
type RouteKind string

// The kinds. A kind that is not known counts as Unsafe.
const (
	// Idempotent requests may run more than once.
	Idempotent RouteKind = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent RouteKind = "unsafe"
	// Upload requests have large bodies and run at most once.
	Upload RouteKind = "upload"
)

// Route says how the requests of a host below a prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Timeout is how long a request may be held, 0 without bound.
	Timeout time.Duration
	// LatencyObjective is the time within which an answer is worth most.
	LatencyObjective time.Duration
	// Priority is the rank, 0 the most urgent.
	Priority int
	// MaxAttempts bounds the targets that one request is sent to.
	MaxAttempts int
	// Services are the services that share the route's requests.
	Services []WeightedService
	// Regions are the home regions, empty for any.
	Regions []string
	// Anonymous requests need no key of a client account.
	Anonymous bool
}

// WeightedService is one service of a route.
type WeightedService struct {
	Service string
	Weight  float64
}

// ServiceFor draws the service of a request by its ID, so that the parts are
// divided by weight and every instance draws the same.
func (r *Route) ServiceFor(requestID string) string {
	if len(r.Services) == 0 {
		return ""
	}
	total := 0.0
	for _, p := range r.Services {
		total += p.Weight
	}
	point := mix.Unit(mix.Pair(requestID, "part")) * total
	for _, p := range r.Services {
		point -= p.Weight
		if point < 0 {
			return p.Service
		}
	}
	return r.Services[len(r.Services)-1].Service
}

// Service is what is known of all targets of one name.
type Service struct {
	Name string
	// HealthPath answers whether a target is healthy.
	HealthPath string
	// MaxConnections bounds the connections that a target accepts from all
	// callers together.
	MaxConnections int
	// Warmup is how long a target stays cold after a start.
	Warmup time.Duration
	// WarmupRate is how many requests a second a cold target bears.
	WarmupRate float64
}

// Limits bound what callers may send. 0 stands for no bound.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
