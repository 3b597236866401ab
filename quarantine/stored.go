package quarantine

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// StoredPrefix is the prefix of the keys under which the platform's store holds the state that
// would be lost if all instances stopped at once. Objects are immutable. There is one for each
// failed trial of a request, with the crashes known by then, and one for each release.
const StoredPrefix = "held/"

// StoredRecord is an object in the store: the crashes of a request, or its release.
type StoredRecord struct {
	Digest Digest `json:"-"`
	// Account is the hash of the client account's name, see AccountHash.
	Account uint32        `json:"account,omitempty"`
	Route   string        `json:"route,omitempty"`
	Crashes []StoredCrash `json:"ends,omitempty"`
	// Released is the time of the request's release in Unix milliseconds, 0 if the object holds
	// crashes. ReleasedBy names who released it: an operator, or the instance at which the request
	// was answered.
	Released   int64  `json:"released_ms,omitempty"`
	ReleasedBy string `json:"who,omitempty"`
}

// StoredCrash is the crash of a target in a StoredRecord.
type StoredCrash struct {
	Target TargetID `json:"target"`
	// At is the time of the crash in Unix milliseconds. Monotonic clock readings would have no
	// meaning after a restart of the process.
	At    int64 `json:"at_ms"`
	Trial bool  `json:"trial,omitempty"`
}

// StoredRecord returns the object to store for a digest, and false if there is none, because no
// trial has failed. The argument wallTime is the wall-clock time at now.
func (t *Table) StoredRecord(now, wallTime time.Time, d Digest) (StoredRecord, bool) {
	r := t.records[d]
	if r == nil || r.failedTrials() == 0 {
		return StoredRecord{}, false
	}
	s := StoredRecord{Digest: d, Account: r.account}
	for _, c := range r.crashes {
		s.Crashes = append(s.Crashes, StoredCrash{Target: c.target, At: wallTime.Add(c.at.Sub(now)).UnixMilli(), Trial: c.trial})
	}
	return s, true
}

// Key returns the key of the object. Instances that store the same failed trial use the same key.
func (s StoredRecord) Key() string {
	suffix := "released-" + strconv.FormatInt(s.Released, 10)
	if s.Released == 0 {
		suffix = strconv.Itoa(s.failedTrials())
	}
	return StoredPrefix + hex.EncodeToString(s.Digest[:]) + "/" + suffix
}

func (s StoredRecord) failedTrials() int {
	n := 0
	for _, c := range s.Crashes {
		if c.Trial {
			n++
		}
	}
	return n
}

// ParseStoredRecord decodes an object from its key and value.
func ParseStoredRecord(key string, value []byte) (StoredRecord, error) {
	rest, ok := strings.CutPrefix(key, StoredPrefix)
	hexDigest, _, cut := strings.Cut(rest, "/")
	raw, err := hex.DecodeString(hexDigest)
	if !ok || !cut || err != nil || len(raw) != len(Digest{}) {
		return StoredRecord{}, fmt.Errorf("quarantine: %q is not the key of a held request", key)
	}
	s := StoredRecord{}
	err = json.Unmarshal(value, &s)
	if err != nil {
		return StoredRecord{}, fmt.Errorf("quarantine: decoding held request %s: %w", key, err)
	}
	if len(s.Crashes) > maxCrashes {
		return StoredRecord{}, fmt.Errorf("quarantine: held request %s has too many crashes: %d", key, len(s.Crashes))
	}
	s.Digest = Digest(raw)
	return s, nil
}

// LastEvent returns the wall-clock time of the latest crash or of the release.
func (s StoredRecord) LastEvent() time.Time {
	last := s.Released
	for _, c := range s.Crashes {
		last = max(last, c.At)
	}
	return time.UnixMilli(last)
}

// Expired reports whether the object no longer counts at the given wall-clock time.
func (s StoredRecord) Expired(wallTime time.Time) bool {
	return wallTime.Sub(s.LastEvent()) >= suspectTTL
}

// Update returns the object in the form of a message at the given wall-clock time, and false if the
// object has expired.
func (s StoredRecord) Update(wallTime time.Time) (Update, bool) {
	u := Update{Digest: s.Digest, Account: s.Account, AnswerAge: -1}
	if s.Expired(wallTime) {
		return u, false
	}
	if s.Released > 0 {
		u.AnswerAge = max(0, wallTime.Sub(time.UnixMilli(s.Released)))
	}
	for _, c := range s.Crashes {
		u.Crashes = append(u.Crashes, CrashUpdate{Target: c.Target, Age: max(0, wallTime.Sub(time.UnixMilli(c.At))), Trial: c.Trial})
	}
	return u, true
}
