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
func (t *Table) StoredRecord(now, day time.Time, d Digest) (StoredRecord, bool) {
	r := t.records[d]
	if r == nil || r.failedTrials() == 0 {
		return StoredRecord{}, false
	}
	k := StoredRecord{Digest: d, Account: r.account}
	for _, e := range r.crashes {
		k.Crashes = append(k.Crashes, StoredCrash{Target: e.target, At: day.Add(e.at.Sub(now)).UnixMilli(), Trial: e.trial})
	}
	return k, true
}

// Key returns the key of the object: the same for what several instances keep of a failed
// trial.
func (k StoredRecord) Key() string {
	what := "released-" + strconv.FormatInt(k.Released, 10)
	if k.Released == 0 {
		what = strconv.Itoa(k.failedTrials())
	}
	return StoredPrefix + hex.EncodeToString(k.Digest[:]) + "/" + what
}

func (k StoredRecord) failedTrials() int {
	n := 0
	for _, e := range k.Crashes {
		if e.Trial {
			n++
		}
	}
	return n
}

// ParseStoredRecord reads an object by its key and value.
func ParseStoredRecord(key string, value []byte) (StoredRecord, error) {
	rest, ok := strings.CutPrefix(key, StoredPrefix)
	digits, _, cut := strings.Cut(rest, "/")
	raw, err := hex.DecodeString(digits)
	if !ok || !cut || err != nil || len(raw) != len(Digest{}) {
		return StoredRecord{}, fmt.Errorf("quarantine: %q is no key of a held request", key)
	}
	k := StoredRecord{}
	err = json.Unmarshal(value, &k)
	if err != nil {
		return StoredRecord{}, fmt.Errorf("quarantine: %s: %w", key, err)
	}
	if len(k.Crashes) > maxCrashes {
		return StoredRecord{}, fmt.Errorf("quarantine: %s has %d ends", key, len(k.Crashes))
	}
	k.Digest = Digest(raw)
	return k, nil
}

// LastEvent returns the time of the last that the object tells of.
func (k StoredRecord) LastEvent() time.Time {
	last := k.Released
	for _, e := range k.Crashes {
		last = max(last, e.At)
	}
	return time.UnixMilli(last)
}

// Expired tells whether the object says nothing any more at a time of day.
func (k StoredRecord) Expired(day time.Time) bool { return day.Sub(k.LastEvent()) >= suspectTTL }

// Update returns what the object tells at a time of day, false if that is over.
func (k StoredRecord) Update(day time.Time) (Update, bool) {
	f := Update{Digest: k.Digest, Account: k.Account, AnswerAge: -1}
	if k.Expired(day) {
		return f, false
	}
	if k.Released > 0 {
		f.AnswerAge = max(0, day.Sub(time.UnixMilli(k.Released)))
	}
	for _, e := range k.Crashes {
		f.Crashes = append(f.Crashes, CrashUpdate{Target: e.Target, Age: max(0, day.Sub(time.UnixMilli(e.At))), Trial: e.Trial})
	}
	return f, true
}
