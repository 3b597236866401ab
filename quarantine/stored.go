package quarantine

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// StoredPrefix is the prefix of the keys under which the platform's store keeps what all
// instances would forget if they ended at once. Each object is written once: one for each
// failed trial of a request, with the ends known by then, and one for each release.
const StoredPrefix = "held/"

// StoredRecord is one of these objects.
type StoredRecord struct {
	Digest Digest `json:"-"`
	// Account is the hash of the name of the request's client account.
	Account uint32        `json:"account,omitempty"`
	Route   string        `json:"route,omitempty"`
	Crashes []StoredCrash `json:"ends,omitempty"`
	// Released is when the request was released, in Unix milliseconds, 0 if this object
	// holds ends, and Who has released it: an operator, or the instance at which it was
	// answered.
	Released   int64  `json:"released_ms,omitempty"`
	ReleasedBy string `json:"who,omitempty"`
}

// StoredCrash is an end of a target.
type StoredCrash struct {
	Target TargetID `json:"target"`
	// At is when it was, in Unix milliseconds: clocks of a process end with it.
	At    int64 `json:"at_ms"`
	Trial bool  `json:"trial,omitempty"`
}

// StoredRecord returns what is to be kept of a request, false if nothing is: no trial of it has
// failed. Day is the time of day at now.
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

// Key returns the key of the object: the same for what several instances keep of a failed
// trial.
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

// ParseStoredRecord reads an object by its key and value.
func ParseStoredRecord(key string, value []byte) (StoredRecord, error) {
	rest, ok := strings.CutPrefix(key, StoredPrefix)
	hexDigest, _, cut := strings.Cut(rest, "/")
	raw, err := hex.DecodeString(hexDigest)
	if !ok || !cut || err != nil || len(raw) != len(Digest{}) {
		return StoredRecord{}, fmt.Errorf("quarantine: %q is no key of a held request", key)
	}
	s := StoredRecord{}
	err = json.Unmarshal(value, &s)
	if err != nil {
		return StoredRecord{}, fmt.Errorf("quarantine: %s: %w", key, err)
	}
	if len(s.Crashes) > maxCrashes {
		return StoredRecord{}, fmt.Errorf("quarantine: %s has %d ends", key, len(s.Crashes))
	}
	s.Digest = Digest(raw)
	return s, nil
}

// LastEvent returns the time of the last that the object tells of.
func (s StoredRecord) LastEvent() time.Time {
	last := s.Released
	for _, c := range s.Crashes {
		last = max(last, c.At)
	}
	return time.UnixMilli(last)
}

// Expired tells whether the object says nothing any more at a time of day.
func (s StoredRecord) Expired(wallTime time.Time) bool {
	return wallTime.Sub(s.LastEvent()) >= suspectTTL
}

// Update returns what the object tells at a time of day, false if that is over.
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
