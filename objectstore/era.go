package objectstore

import (
	"net/http"
	"strconv"
	"sync"
)

// EraHeader holds, in all answers of the service, how often it has come back from a copy of itself: its
// latest changes are gone then, and its revisions are given out again.
const EraHeader = "Object-Era"

const (
	// eraShift is the bit of a version from which on it holds the era. The bits below hold the
	// service's own number.
	eraShift = 40
	maxEra   = 1 << (63 - eraShift)
)

// versionOf returns the version that stands for the service's own number in an era: versions of a later
// era are larger. 0 stands for no object in every era.
func versionOf(era, number int64) int64 {
	if number == 0 {
		return 0
	}
	return era<<eraShift | number
}

// splitVersion returns the era and the service's own number of a version.
func splitVersion(version int64) (era, number int64) {
	return version >> eraShift, version & (1<<eraShift - 1)
}

// IsLaterEra tells whether a version is of a later era of the service than another one: the service has
// come back from a copy in between, and an object at the first may lack what it held at the other.
func IsLaterEra(version, than int64) bool { return version>>eraShift > than>>eraShift }

// eraTracker follows the era of a service. It is safe for concurrent use.
type eraTracker struct {
	mu     sync.Mutex
	latest int64
	// advanced is closed when a later era begins.
	advanced chan struct{}
}

func newEraTracker() *eraTracker { return &eraTracker{advanced: make(chan struct{})} }

// observe takes in the era that an answer names, and returns it. An answer that names none that can be
// held in a version is of era 0.
func (e *eraTracker) observe(header http.Header) int64 {
	era, err := strconv.ParseInt(header.Get(EraHeader), 10, 64)
	if err != nil || era < 0 || era >= maxEra {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if era > e.latest {
		e.latest = era
		close(e.advanced)
		e.advanced = make(chan struct{})
	}
	return era
}

// current returns the latest era that is known, and a channel that is closed when a later one begins.
func (e *eraTracker) current() (era int64, advanced <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.latest, e.advanced
}
