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

// Update are what a message tells of one request: its ends and its last answer, with their
// ages at the time of sending.
type Update struct {
	Digest Digest
	// Account is the hash of the name of its client account.
	Account uint32
	Crashes []CrashUpdate
	// AnswerAge is the time since it was last answered, negative if it was not.
	AnswerAge time.Duration
}

// CrashUpdate is an end in a message.
type CrashUpdate struct {
	Target TargetID
	Age    time.Duration
	Trial  bool
}

// Updates are facts as a message carries them.
type Updates []Update

// ErrTruncated is returned for news that are cut short.
var ErrTruncated = errors.New("quarantine: news cut short")

// AccountHash is the form of the name of a client account in facts.
func AccountHash(name string) uint32 { return uint32(mix.Hash(name) >> 32) }

// TargetIDOf returns what stands for the target with an ID.
func TargetIDOf(id string) TargetID { return TargetID(mix.Hash(id)) }

// update returns what is told of a record.
func (r *record) update(now time.Time, d Digest) Update {
	f := Update{Digest: d, Account: r.account, AnswerAge: -1}
	for _, e := range r.crashes {
		f.Crashes = append(f.Crashes, CrashUpdate{Target: e.target, Age: now.Sub(e.at), Trial: e.trial})
	}
	if !r.answeredAt.IsZero() {
		f.AnswerAge = now.Sub(r.answeredAt)
	}
	return f
}

// Updates returns what is known of some requests, for a message.
func (t *Table) Updates(now time.Time, digests ...Digest) Updates {
	var out Updates
	for _, d := range digests {
		if r := t.records[d]; r != nil && now.Add(minRemainingTTL).Before(r.expiresAt()) {
			out = append(out, r.update(now, d))
		}
	}
	return out
}

// LatestSuspects returns what is known of at most n suspect requests, those with the latest ends.
func (t *Table) LatestSuspects(now time.Time, n int) Updates {
	var digests []Digest
	for d, r := range t.records {
		if r.isSuspect() {
			digests = append(digests, d)
		}
	}
	slices.SortFunc(digests, func(a, b Digest) int {
		return cmp.Or(t.records[b].lastCrash().Compare(t.records[a].lastCrash()), slices.Compare(a[:], b[:]))
	})
	return t.Updates(now, digests[:min(n, len(digests))]...)
}

// Checksum returns a number that is the same for tables that know the same of suspect requests,
// 0 if there are none.
func (t *Table) Checksum() uint32 {
	sum := uint64(0)
	for d, r := range t.records {
		if !r.isSuspect() {
			continue
		}
		one := binary.BigEndian.Uint64(d[:])
		for _, e := range r.crashes {
			one = mix.Join(one, 0) ^ uint64(e.target)
		}
		sum ^= mix.Join(one, uint64(len(r.crashes)))
	}
	return uint32(sum)
}

// Merge takes in what another instance knows. It returns the digests of which something new
// was learned.
func (t *Table) Merge(now time.Time, news Updates) []Digest {
	var learned []Digest
	for _, f := range news {
		fresh := false
		if f.AnswerAge >= 0 && f.AnswerAge < answeredTTL && t.records[f.Digest] == nil && t.makeRoom(now, f.Account) {
			// Its ends may come later than the news that they do not count.
			t.put(f.Digest, newRecord(f.Digest, f.Account))
		}
		if f.AnswerAge >= 0 && t.records[f.Digest] != nil {
			r := t.records[f.Digest]
			t.modify(r, func() { fresh = r.addAnswer(now.Add(-f.AnswerAge)) })
		}
		for _, e := range f.Crashes {
			at := now.Add(-e.Age)
			if f.AnswerAge >= 0 && e.Age >= f.AnswerAge {
				continue
			}
			fresh = t.add(now, f.Digest, f.Account, crash{target: e.Target, at: at, trial: e.Trial}) || fresh
		}
		if fresh {
			learned = append(learned, f.Digest)
		}
	}
	return learned
}

// Sizes of facts in a message, and the unit of ages there.
const (
	headerBytes = len(Digest{}) + 4 + 2 + 1
	crashBytes  = 8 + 2
	ageUnit     = 100 * time.Millisecond
	// noAnswer stands for an answer that there was not; the highest age is below it.
	noAnswer = math.MaxUint16
	// trialBit is the highest bit of an end's age.
	trialBit = 1 << 15
	// maxCrashAge is the highest age of an end in a message, and longestAnswer that of
	// an answer: what is older is long forgotten.
	maxCrashAge  = trialBit - 1
	maxAnswerAge = noAnswer - 1
)

// MarshalBinary implements encoding.BinaryMarshaler, by which messages carry news.
func (n Updates) MarshalBinary() ([]byte, error) {
	raw := make([]byte, 0, len(n)*(headerBytes+2*crashBytes))
	for _, f := range n {
		raw = append(raw, f.Digest[:]...)
		raw = binary.BigEndian.AppendUint32(raw, f.Account)
		raw = binary.BigEndian.AppendUint16(raw, encodeAnswerAge(f.AnswerAge))
		ends := f.Crashes[:min(len(f.Crashes), maxCrashes)]
		raw = append(raw, byte(len(ends)))
		for _, e := range ends {
			raw = binary.BigEndian.AppendUint64(raw, uint64(e.Target))
			raw = binary.BigEndian.AppendUint16(raw, encodeCrashAge(e))
		}
	}
	return raw, nil
}

func encodeAnswerAge(age time.Duration) uint16 {
	if age < 0 {
		return noAnswer
	}
	return uint16(min(age/ageUnit, maxAnswerAge))
}

func encodeCrashAge(e CrashUpdate) uint16 {
	age := uint16(min(max(e.Age, 0)/ageUnit, maxCrashAge))
	if e.Trial {
		age |= trialBit
	}
	return age
}

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (n *Updates) UnmarshalBinary(raw []byte) error {
	*n = nil
	for len(raw) > 0 {
		if len(raw) < headerBytes {
			return ErrTruncated
		}
		f := Update{Digest: Digest(raw), AnswerAge: -1}
		raw = raw[len(f.Digest):]
		f.Account = binary.BigEndian.Uint32(raw)
		if age := binary.BigEndian.Uint16(raw[4:]); age != noAnswer {
			f.AnswerAge = time.Duration(age) * ageUnit
		}
		count := int(raw[6])
		raw = raw[7:]
		if count > maxCrashes || len(raw) < count*crashBytes {
			return ErrTruncated
		}
		for range count {
			age := binary.BigEndian.Uint16(raw[8:])
			f.Crashes = append(f.Crashes, CrashUpdate{
				Target: TargetID(binary.BigEndian.Uint64(raw)),
				Age:    time.Duration(age&^trialBit) * ageUnit,
				Trial:  age&trialBit != 0,
			})
			raw = raw[crashBytes:]
		}
		*n = append(*n, f)
	}
	return nil
}
