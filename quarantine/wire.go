package quarantine

import (
	"cmp"
	"encoding/binary"
	"errors"
	"math"
	"slices"
	"time"

	"github.com/rainford/rainford/internal/mix"
)

// Facts are what a message tells of one request: its ends and its last answer, with their
// ages at the time of sending.
type Facts struct {
	Digest Digest
	// Account is the hash of the name of its client account.
	Account uint32
	Ends    []EndFact
	// Answered is the time since it was last answered, negative if it was not.
	Answered time.Duration
}

// EndFact is an end in a message.
type EndFact struct {
	Target Target
	Age    time.Duration
	Trial  bool
}

// News are facts as a message carries them.
type News []Facts

// ErrNews is returned for news that are cut short.
var ErrNews = errors.New("quarantine: news cut short")

// AccountHash is the form of the name of a client account in facts.
func AccountHash(name string) uint32 { return uint32(mix.Hash(name) >> 32) }

// TargetOf returns what stands for the target with an ID.
func TargetOf(id string) Target { return Target(mix.Hash(id)) }

// facts returns what is told of a record.
func (r *record) facts(now time.Time, d Digest) Facts {
	f := Facts{Digest: d, Account: r.account, Answered: -1}
	for _, e := range r.ends {
		f.Ends = append(f.Ends, EndFact{Target: e.target, Age: now.Sub(e.at), Trial: e.trial})
	}
	if !r.answeredAt.IsZero() {
		f.Answered = now.Sub(r.answeredAt)
	}
	return f
}

// About returns what is known of some requests, for a message.
func (t *Table) About(now time.Time, digests ...Digest) News {
	var out News
	for _, d := range digests {
		if r := t.records[d]; r != nil && now.Add(leastLeft).Before(r.until()) {
			out = append(out, r.facts(now, d))
		}
	}
	return out
}

// Most returns what is known of at most n suspect requests, those with the latest ends.
func (t *Table) Most(now time.Time, n int) News {
	var digests []Digest
	for d, r := range t.records {
		if r.suspects() {
			digests = append(digests, d)
		}
	}
	slices.SortFunc(digests, func(a, b Digest) int {
		return cmp.Or(t.records[b].lastEnd().Compare(t.records[a].lastEnd()), slices.Compare(a[:], b[:]))
	})
	return t.About(now, digests[:min(n, len(digests))]...)
}

// Sum returns a number that is the same for tables that know the same of suspect requests,
// 0 if there are none.
func (t *Table) Sum() uint32 {
	sum := uint64(0)
	for d, r := range t.records {
		if !r.suspects() {
			continue
		}
		one := binary.BigEndian.Uint64(d[:])
		for _, e := range r.ends {
			one = mix.Join(one, 0) ^ uint64(e.target)
		}
		sum ^= mix.Join(one, uint64(len(r.ends)))
	}
	return uint32(sum)
}

// Merge takes in what another instance knows. It returns the digests of which something new
// was learned.
func (t *Table) Merge(now time.Time, news News) []Digest {
	var learned []Digest
	for _, f := range news {
		fresh := false
		if f.Answered >= 0 && f.Answered < clearedLife && t.records[f.Digest] == nil && t.makeRoom(now, f.Account) {
			// Its ends may come later than the news that they do not count.
			t.put(f.Digest, newRecord(f.Digest, f.Account))
		}
		if f.Answered >= 0 && t.records[f.Digest] != nil {
			r := t.records[f.Digest]
			t.change(r, func() { fresh = r.answer(now.Add(-f.Answered)) })
		}
		for _, e := range f.Ends {
			at := now.Add(-e.Age)
			if f.Answered >= 0 && e.Age >= f.Answered {
				continue
			}
			fresh = t.add(now, f.Digest, f.Account, end{target: e.Target, at: at, trial: e.Trial}) || fresh
		}
		if fresh {
			learned = append(learned, f.Digest)
		}
	}
	return learned
}

// Sizes of facts in a message, and the unit of ages there.
const (
	headBytes = len(Digest{}) + 4 + 2 + 1
	endBytes  = 8 + 2
	wireUnit  = 100 * time.Millisecond
	// never stands for an answer that there was not; the highest age is below it.
	never = math.MaxUint16
	// trialBit is the highest bit of an end's age.
	trialBit = 1 << 15
	// longestEnd is the highest age of an end in a message, and longestAnswer that of
	// an answer: what is older is long forgotten.
	longestEnd    = trialBit - 1
	longestAnswer = never - 1
)

// MarshalBinary implements encoding.BinaryMarshaler, by which messages carry news.
func (n News) MarshalBinary() ([]byte, error) {
	raw := make([]byte, 0, len(n)*(headBytes+2*endBytes))
	for _, f := range n {
		raw = append(raw, f.Digest[:]...)
		raw = binary.BigEndian.AppendUint32(raw, f.Account)
		raw = binary.BigEndian.AppendUint16(raw, answerAge(f.Answered))
		ends := f.Ends[:min(len(f.Ends), mostEnds)]
		raw = append(raw, byte(len(ends)))
		for _, e := range ends {
			raw = binary.BigEndian.AppendUint64(raw, uint64(e.Target))
			raw = binary.BigEndian.AppendUint16(raw, endAge(e))
		}
	}
	return raw, nil
}

func answerAge(age time.Duration) uint16 {
	if age < 0 {
		return never
	}
	return uint16(min(age/wireUnit, longestAnswer))
}

func endAge(e EndFact) uint16 {
	age := uint16(min(max(e.Age, 0)/wireUnit, longestEnd))
	if e.Trial {
		age |= trialBit
	}
	return age
}

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (n *News) UnmarshalBinary(raw []byte) error {
	*n = nil
	for len(raw) > 0 {
		if len(raw) < headBytes {
			return ErrNews
		}
		f := Facts{Digest: Digest(raw), Answered: -1}
		raw = raw[len(f.Digest):]
		f.Account = binary.BigEndian.Uint32(raw)
		if age := binary.BigEndian.Uint16(raw[4:]); age != never {
			f.Answered = time.Duration(age) * wireUnit
		}
		count := int(raw[6])
		raw = raw[7:]
		if count > mostEnds || len(raw) < count*endBytes {
			return ErrNews
		}
		for range count {
			age := binary.BigEndian.Uint16(raw[8:])
			f.Ends = append(f.Ends, EndFact{
				Target: Target(binary.BigEndian.Uint64(raw)),
				Age:    time.Duration(age&^trialBit) * wireUnit,
				Trial:  age&trialBit != 0,
			})
			raw = raw[endBytes:]
		}
		*n = append(*n, f)
	}
	return nil
}
