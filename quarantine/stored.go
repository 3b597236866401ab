package quarantine

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// KeptPrefix is the prefix of the keys under which the platform's store keeps what all
// instances would forget if they ended at once. Each object is written once: one for each
// failed trial of a request, with the ends known by then, and one for each release.
const KeptPrefix = "held/"

// Kept is one of these objects.
type Kept struct {
	Digest Digest `json:"-"`
	// Account is the hash of the name of the request's client account.
	Account uint32    `json:"account,omitempty"`
	Route   string    `json:"route,omitempty"`
	Ends    []KeptEnd `json:"ends,omitempty"`
	// Released is when the request was released, in Unix milliseconds, 0 if this object
	// holds ends, and Who has released it: an operator, or the instance at which it was
	// answered.
	Released int64  `json:"released_ms,omitempty"`
	Who      string `json:"who,omitempty"`
}

// KeptEnd is an end of a target.
type KeptEnd struct {
	Target Target `json:"target"`
	// At is when it was, in Unix milliseconds: clocks of a process end with it.
	At    int64 `json:"at_ms"`
	Trial bool  `json:"trial,omitempty"`
}

// Keep returns what is to be kept of a request, false if nothing is: no trial of it has
// failed. Day is the time of day at now.
func (t *Table) Keep(now, day time.Time, d Digest) (Kept, bool) {
	r := t.records[d]
	if r == nil || r.failed() == 0 {
		return Kept{}, false
	}
	k := Kept{Digest: d, Account: r.account}
	for _, e := range r.ends {
		k.Ends = append(k.Ends, KeptEnd{Target: e.target, At: day.Add(e.at.Sub(now)).UnixMilli(), Trial: e.trial})
	}
	return k, true
}

// Key returns the key of the object: the same for what several instances keep of a failed
// trial.
func (k Kept) Key() string {
	what := "released-" + strconv.FormatInt(k.Released, 10)
	if k.Released == 0 {
		what = strconv.Itoa(k.failed())
	}
	return KeptPrefix + hex.EncodeToString(k.Digest[:]) + "/" + what
}

func (k Kept) failed() int {
	n := 0
	for _, e := range k.Ends {
		if e.Trial {
			n++
		}
	}
	return n
}

// ParseKept reads an object by its key and value.
func ParseKept(key string, value []byte) (Kept, error) {
	rest, ok := strings.CutPrefix(key, KeptPrefix)
	digits, _, cut := strings.Cut(rest, "/")
	raw, err := hex.DecodeString(digits)
	if !ok || !cut || err != nil || len(raw) != len(Digest{}) {
		return Kept{}, fmt.Errorf("quarantine: %q is no key of a held request", key)
	}
	k := Kept{}
	err = json.Unmarshal(value, &k)
	if err != nil {
		return Kept{}, fmt.Errorf("quarantine: %s: %w", key, err)
	}
	if len(k.Ends) > mostEnds {
		return Kept{}, fmt.Errorf("quarantine: %s has %d ends", key, len(k.Ends))
	}
	k.Digest = Digest(raw)
	return k, nil
}

// Last returns the time of the last that the object tells of.
func (k Kept) Last() time.Time {
	last := k.Released
	for _, e := range k.Ends {
		last = max(last, e.At)
	}
	return time.UnixMilli(last)
}

// IsOver tells whether the object says nothing any more at a time of day.
func (k Kept) IsOver(day time.Time) bool { return day.Sub(k.Last()) >= suspectLife }

// Facts returns what the object tells at a time of day, false if that is over.
func (k Kept) Facts(day time.Time) (Facts, bool) {
	f := Facts{Digest: k.Digest, Account: k.Account, Answered: -1}
	if k.IsOver(day) {
		return f, false
	}
	if k.Released > 0 {
		f.Answered = max(0, day.Sub(time.UnixMilli(k.Released)))
	}
	for _, e := range k.Ends {
		f.Ends = append(f.Ends, EndFact{Target: e.Target, Age: max(0, day.Sub(time.UnixMilli(e.At))), Trial: e.Trial})
	}
	return f, true
}
