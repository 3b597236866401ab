package catalog

import "strings"

// Router finds the route and the client account of a request. It is immutable and safe for
// concurrent use.
type Router struct {
	config         *Config
	routesByHost   map[string]map[string]*Route
	accountsByKey  map[Key]*Account
	accountsByName map[string]*Account
}

// NewRouter returns the router for a configuration, which must not be changed afterwards. If
// accounts share keys, it returns an error that lists all conflicts, each an ErrSharedKey.
func NewRouter(config *Config) (*Router, error) {
	accounts, err := accountsByKey(config.Accounts)
	if err != nil {
		return nil, err
	}
	r := &Router{config: config, routesByHost: make(map[string]map[string]*Route), accountsByKey: accounts, accountsByName: make(map[string]*Account)}
	for i := range config.Accounts {
		r.accountsByName[config.Accounts[i].Name] = &config.Accounts[i]
	}
	for i := range config.Routes {
		route := &config.Routes[i]
		host := strings.ToLower(route.Host)
		if r.routesByHost[host] == nil {
			r.routesByHost[host] = make(map[string]*Route)
		}
		r.routesByHost[host][route.Prefix] = route
	}
	return r, nil
}

// Config returns the configuration of the router. The caller must not change it.
func (r *Router) Config() *Config { return r.config }

// Account returns the client account of a key, or nil if there is none. Its cost does not
// grow with the number of accounts.
func (r *Router) Account(key Key) *Account { return r.accountsByKey[key] }

// AccountNamed returns the client account with the given name, or nil if there is none.
func (r *Router) AccountNamed(name string) *Account { return r.accountsByName[name] }

// HasRateLimits reports whether any account has a rate limit.
func (r *Router) HasRateLimits() bool {
	for i := range r.config.Accounts {
		if r.config.Accounts[i].HasRateLimit() {
			return true
		}
	}
	return false
}

// Find returns the route of host whose prefix is the longest prefix of path, or nil if no
// route matches. The host may include a port. The cost grows with the number of slashes in
// the path, not with the number of routes.
func (r *Router) Find(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i > 0 {
		host = host[:i]
	}
	prefixes := r.routesByHost[strings.ToLower(host)]
	if prefixes == nil {
		return nil
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route := prefixes[path[:end+1]]; route != nil {
			return route
		}
	}
	return nil
}
