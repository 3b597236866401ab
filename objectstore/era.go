package objectstore

import (
	"net/http"
	"strconv"
	"sync"
)

// EraHeader is the header of all responses of the service that holds its era, which is the number of
// restores from a backup. A restore undoes the latest changes, and their revisions are assigned again.
const EraHeader = "Object-Era"

const (
	// eraShift is the lowest bit of the era in a version. The bits below it are the number that
	// the service itself has assigned.
	eraShift = 40
	maxEra   = 1 << (63 - eraShift)
)

// versionOf returns the version for a number that the service has assigned in an era. Versions of later
// eras are larger. The number 0, which stands for no object, gives version 0 in every era.
func versionOf(era, number int64) int64 {
	if number == 0 {
		return 0
	}
	return era<<eraShift | number
}

// splitVersion returns the era of a version and the number that the service has assigned.
func splitVersion(version int64) (era, number int64) {
	return version >> eraShift, version & (1<<eraShift - 1)
}

// IsLaterEra reports whether a version belongs to a later era of the service than another one. The
// service was restored from a backup in between then, so an object may have lost changes that it had at
// the other version.
func IsLaterEra(version, than int64) bool { return version>>eraShift > than>>eraShift }

// eraTracker records the latest era of a service. It is safe for concurrent use.
type eraTracker struct {
	mu     sync.Mutex
	latest int64
	// advanced is closed, and replaced, when a response names a later era.
	advanced chan struct{}
}

func newEraTracker() *eraTracker { return &eraTracker{advanced: make(chan struct{})} }

// observe records the era that a response names, and returns it. It returns 0 if the header is missing,
// malformed, or too large for a version.
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

// current returns the latest era, and a channel that is closed when a response names a later one.
func (e *eraTracker) current() (era int64, advanced <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.latest, e.advanced
}
