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

// Update is the state of one digest in a message: its crashes and its last answer, with their ages
// at the time of sending.
type Update struct {
	Digest Digest
	// Account is the hash of the client account's name, see AccountHash.
	Account uint32
	Crashes []CrashUpdate
	// AnswerAge is the time since the last answer, negative if there was none.
	AnswerAge time.Duration
}

// CrashUpdate is the crash of a target in an Update.
type CrashUpdate struct {
	Target TargetID
	Age    time.Duration
	Trial  bool
}

// Updates are the updates of one message.
type Updates []Update

// ErrTruncated is returned for encoded updates that are truncated or hold more crashes than a
// record may have.
var ErrTruncated = errors.New("quarantine: updates truncated or with too many crashes")

// AccountHash returns the hash that stands for the name of a client account in records and
// messages.
func AccountHash(name string) uint32 { return uint32(mix.Hash(name) >> 32) }

// TargetIDOf returns the TargetID of the target incarnation with the given ID.
func TargetIDOf(id string) TargetID { return TargetID(mix.Hash(id)) }

// update returns the state of the record for a message.
func (r *record) update(now time.Time, d Digest) Update {
	u := Update{Digest: d, Account: r.account, AnswerAge: -1}
	for _, c := range r.crashes {
		u.Crashes = append(u.Crashes, CrashUpdate{Target: c.target, Age: now.Sub(c.at), Trial: c.trial})
	}
	if !r.answeredAt.IsZero() {
		u.AnswerAge = now.Sub(r.answeredAt)
	}
	return u
}

// Updates returns the states of the given digests for a message. It leaves out digests without a
// record, and records that expire within minRemainingTTL.
func (t *Table) Updates(now time.Time, digests ...Digest) Updates {
	var out Updates
	for _, d := range digests {
		if r := t.records[d]; r != nil && now.Add(minRemainingTTL).Before(r.expiresAt()) {
			out = append(out, r.update(now, d))
		}
	}
	return out
}

// LatestSuspects returns the states of at most n digests that are not Allowed, those with the
// latest crashes.
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

// Checksum returns a checksum of the suspect records, by which instances detect that their tables
// differ. It covers digests and crashed targets in the order of their crashes, but no times. It is 0
// if no record is suspect.
func (t *Table) Checksum() uint32 {
	sum := uint64(0)
	for d, r := range t.records {
		if !r.isSuspect() {
			continue
		}
		hash := binary.BigEndian.Uint64(d[:])
		for _, c := range r.crashes {
			hash = mix.Combine(hash, 0) ^ uint64(c.target)
		}
		sum ^= mix.Combine(hash, uint64(len(r.crashes)))
	}
	return uint32(sum)
}

// Merge applies the updates of another instance. It returns the digests whose crashes have changed.
func (t *Table) Merge(now time.Time, updates Updates) []Digest {
	var digests []Digest
	for _, update := range updates {
		changed := false
		if update.AnswerAge >= 0 && update.AnswerAge < answeredTTL && t.records[update.Digest] == nil && t.makeRoom(now, update.Account) {
			// Updates on crashes before this answer may arrive later, and must not count.
			t.put(update.Digest, newRecord(update.Digest, update.Account))
		}
		if update.AnswerAge >= 0 && t.records[update.Digest] != nil {
			r := t.records[update.Digest]
			t.modify(r, func() { changed = r.addAnswer(now.Add(-update.AnswerAge)) })
		}
		for _, c := range update.Crashes {
			at := now.Add(-c.Age)
			if update.AnswerAge >= 0 && c.Age >= update.AnswerAge {
				continue
			}
			changed = t.add(now, update.Digest, update.Account, crash{target: c.Target, at: at, trial: c.Trial}) || changed
		}
		if changed {
			digests = append(digests, update.Digest)
		}
	}
	return digests
}

// Sizes of encoded updates, and the unit of the ages in them.
const (
	headerBytes = len(Digest{}) + 4 + 2 + 1
	crashBytes  = 8 + 2
	ageUnit     = 100 * time.Millisecond
	// noAnswer encodes that there was no answer. It is greater than all encoded ages.
	noAnswer = math.MaxUint16
	// trialBit is the highest bit of a crash's encoded age, set if the crash happened during a
	// trial.
	trialBit = 1 << 15
	// maxCrashAge is the largest encoded age of a crash, and maxAnswerAge that of an answer, in
	// units of ageUnit. Records of older crashes and answers have expired.
	maxCrashAge  = trialBit - 1
	maxAnswerAge = noAnswer - 1
)

// MarshalBinary implements encoding.BinaryMarshaler. It is the encoding of updates in messages.
func (u Updates) MarshalBinary() ([]byte, error) {
	raw := make([]byte, 0, len(u)*(headerBytes+2*crashBytes))
	for _, update := range u {
		raw = append(raw, update.Digest[:]...)
		raw = binary.BigEndian.AppendUint32(raw, update.Account)
		raw = binary.BigEndian.AppendUint16(raw, encodeAnswerAge(update.AnswerAge))
		crashes := update.Crashes[:min(len(update.Crashes), maxCrashes)]
		raw = append(raw, byte(len(crashes)))
		for _, c := range crashes {
			raw = binary.BigEndian.AppendUint64(raw, uint64(c.Target))
			raw = binary.BigEndian.AppendUint16(raw, encodeCrashAge(c))
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

func encodeCrashAge(c CrashUpdate) uint16 {
	age := uint16(min(max(c.Age, 0)/ageUnit, maxCrashAge))
	if c.Trial {
		age |= trialBit
	}
	return age
}

// UnmarshalBinary implements encoding.BinaryUnmarshaler. It returns ErrTruncated for invalid data.
func (u *Updates) UnmarshalBinary(raw []byte) error {
	*u = nil
	for len(raw) > 0 {
		if len(raw) < headerBytes {
			return ErrTruncated
		}
		update := Update{Digest: Digest(raw), AnswerAge: -1}
		raw = raw[len(update.Digest):]
		update.Account = binary.BigEndian.Uint32(raw)
		if age := binary.BigEndian.Uint16(raw[4:]); age != noAnswer {
			update.AnswerAge = time.Duration(age) * ageUnit
		}
		count := int(raw[6])
		raw = raw[7:]
		if count > maxCrashes || len(raw) < count*crashBytes {
			return ErrTruncated
		}
		for range count {
			age := binary.BigEndian.Uint16(raw[8:])
			update.Crashes = append(update.Crashes, CrashUpdate{
				Target: TargetID(binary.BigEndian.Uint64(raw)),
				Age:    time.Duration(age&^trialBit) * ageUnit,
				Trial:  age&trialBit != 0,
			})
			raw = raw[crashBytes:]
		}
		*u = append(*u, update)
	}
	return nil
}
