package resolver

import (
	"strings"
	"time"
)

const (
	// FreshTime is the age up to which a response is used without a fetch.
	FreshTime = 250 * time.Millisecond
	// StaleTime is the age up to which a response is used while a fetch is in progress. Look-ups
	// that find an older one wait for the fetch.
	StaleTime = time.Second
	// MaxAge is the greatest age of a response that is used at all. An instance that has ended may be
	// named for at most 7 s, and other instances need some of them to notice its end.
	MaxAge = 3 * time.Second
	// retryInterval is the time between a failed fetch and the next one of the same query. It keeps
	// look-ups that arrive while no instance can be reached from causing one fetch each.
	retryInterval = FreshTime
	// maxQueries is the greatest number of queries that are kept.
	maxQueries = 64
)

// Query is what a client asks: the instances for clients of a region and hall.
type Query struct{ Region, Hall string }

// Response is the response of an instance to a Query. Its fields must not be modified.
type Response struct {
	// Body is the encoded response, as it is passed on to clients.
	Body []byte
	// Hosts are the hosts of the instances that the response names, one for each entry. A host that
	// is named by several entries is repeated.
	Hosts []string
}

// Answer is the answer to a look-up.
type Answer struct {
	// Body is the response to send to the client. If it is nil and Wait is false, there is none, and
	// the client is to be told so.
	Body []byte
	// Fetch tells the caller to start a fetch for the query. It has to report the result by Store
	// or Abandon.
	Fetch bool
	// Wait tells the caller to wait for the fetch in progress and to send the result of Last then.
	Wait bool
}

// entry is the state of one query.
type entry struct {
	response Response
	// askedAt is the time at which the instance was asked for the response, which is older than
	// the response. It is zero if there is no response.
	askedAt time.Time
	// fetching is true while a fetch is in progress, which keeps the entry from being evicted.
	fetching bool
	// retryAt is the time before which no fetch is started, since one has failed.
	retryAt time.Time
	usedAt  time.Time
}

// Cache decides how to answer look-ups, and which instances to ask.
type Cache struct {
	own     address
	entries map[Query]*entry
	// failedAt holds the time of the last failure of the instances that have failed recently.
	failedAt map[string]time.Time
	// namedAt holds, by host, when a response last named an instance. An instance that has just started
	// names few others, and the own one may end while its last response is the only one kept.
	namedAt map[string]time.Time
}

// New returns an empty cache. own is the look-up address, in the form HOST:PORT, of the instance of
// the same machine. The look-up addresses of all instances must have the same port. The error
// states that own has another form.
func New(own string) (*Cache, error) {
	addr, err := parseAddress(own)
	if err != nil {
		return nil, err
	}
	return &Cache{own: addr, entries: make(map[Query]*entry), failedAt: make(map[string]time.Time), namedAt: make(map[string]time.Time)}, nil
}

// Lookup returns the answer to a look-up at the time now. It allocates only for a query that is not
// kept yet.
func (c *Cache) Lookup(q Query, now time.Time) Answer {
	e := c.entries[q]
	if e == nil {
		e = c.add(q)
	}
	if e == nil {
		return Answer{}
	}
	e.usedAt = now
	if e.isWithin(FreshTime, now) {
		return Answer{Body: e.response.Body}
	}
	var a Answer
	if !e.fetching && !now.Before(e.retryAt) {
		e.fetching = true
		a.Fetch = true
	}
	switch {
	case e.isWithin(StaleTime, now):
		a.Body = e.response.Body
	case e.fetching:
		a.Wait = true
	default:
		a.Body = e.last(now)
	}
	return a
}

// Last returns the last response to a query, or nil if there is none that is at most MaxAge old.
func (c *Cache) Last(q Query, now time.Time) []byte {
	if e := c.entries[q]; e != nil {
		return e.last(now)
	}
	return nil
}

// Store ends a fetch with the response of the instance at addr, which was asked at askedAt.
func (c *Cache) Store(q Query, addr string, r Response, askedAt time.Time) {
	delete(c.failedAt, addr)
	if e := c.entries[q]; e != nil {
		e.fetching = false
		e.response = r
		e.askedAt = askedAt
	}
	c.recordNamed(r.Hosts, askedAt)
}

// Abandon ends a fetch to which no instance has responded.
func (c *Cache) Abandon(q Query, now time.Time) {
	if e := c.entries[q]; e != nil {
		e.fetching = false
		e.retryAt = now.Add(retryInterval)
	}
}

// Len returns the number of queries that are kept.
func (c *Cache) Len() int { return len(c.entries) }

// add adds an entry for a query. If there are maxQueries already, it evicts the least recently used
// one, and returns nil if all of them are being fetched.
func (c *Cache) add(q Query) *entry {
	if len(c.entries) >= maxQueries && !c.evict() {
		return nil
	}
	e := &entry{}
	// The texts of a query may be parts of a larger one, which is not to be kept.
	c.entries[Query{Region: strings.Clone(q.Region), Hall: strings.Clone(q.Hall)}] = e
	return e
}

// evict removes the least recently used entry that is not being fetched. It reports whether there
// was one.
func (c *Cache) evict() bool {
	var oldest Query
	var found *entry
	for q, e := range c.entries {
		if !e.fetching && (found == nil || e.usedAt.Before(found.usedAt)) {
			oldest, found = q, e
		}
	}
	if found == nil {
		return false
	}
	delete(c.entries, oldest)
	return true
}

// isWithin reports whether the entry has a response that is at most limit old.
func (e *entry) isWithin(limit time.Duration, now time.Time) bool {
	return !e.askedAt.IsZero() && now.Sub(e.askedAt) <= limit
}

// last returns the response if it may still be used, and nil otherwise.
func (e *entry) last(now time.Time) []byte {
	if !e.isWithin(MaxAge, now) {
		return nil
	}
	return e.response.Body
}
