package rollout

import (
	"encoding/binary"
	"errors"
	"math"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Outcome is what became of a request at a target, as far as it tells of the target's version.
type Outcome uint8

// The outcomes. What tells nothing of the version, such as a rejection by a full target, is not
// observed.
const (
	// Answered requests got an answer that is no failure of the target.
	Answered Outcome = iota
	// Failed ones got an answer that says that the target has failed.
	Failed
	// Unanswered ones got no answer in time, or one that broke off.
	Unanswered
)

// Observation is a request that was sent to a new target, once it has ended.
type Observation struct {
	// Route, Key and Target are hashes of what they name.
	Route   uint16
	Key     uint32
	Target  uint32
	Latency LatencyBucket
	// Outcome is what became of it. Cold says that the target had just started.
	Outcome Outcome
	Cold    bool
}

// LatencyBucket is the time of an answer, by the logarithm: four steps double it.
type LatencyBucket uint8

// bucketsPerDoubling is the number of steps in which a Time doubles, and maxBucket the longest.
const (
	bucketsPerDoubling = 4
	maxBucket          = 79
)

// BucketOf returns the step of a time.
func BucketOf(took time.Duration) LatencyBucket {
	ms := max(1, float64(took)/float64(time.Millisecond))
	return LatencyBucket(min(maxBucket, bucketsPerDoubling*math.Log2(ms)))
}

// Duration returns the time in the middle of the step.
func (t LatencyBucket) Duration() time.Duration {
	return time.Duration(math.Exp2((float64(t)+0.5)/bucketsPerDoubling) * float64(time.Millisecond))
}

// scale returns the step of the time that is so many scale as long.
func (t LatencyBucket) scale(factor float64) LatencyBucket {
	return LatencyBucket(min(maxBucket, float64(t)+bucketsPerDoubling*math.Log2(factor)))
}

// LatencyHistogram counts answers by the step of their times.
type LatencyHistogram map[LatencyBucket]uint32

// Tally counts the requests of a route that were sent to old targets and have ended.
type Tally struct {
	Route            uint16
	Answered, Failed uint32
	// Latencies are those of the ones answered.
	Latencies LatencyHistogram
}

// add adds the requests of another tally.
func (t *Tally) add(other Tally) {
	t.Answered += other.Answered
	t.Failed += other.Failed
	if t.Latencies == nil {
		t.Latencies = make(LatencyHistogram, len(other.Latencies))
	}
	for step, n := range other.Latencies {
		t.Latencies[step] += n
	}
}

// Report is what an instance tells the leader: what has happened since its last report, but for
// Sent and SentNew.
type Report struct {
	Order ID     `msgpack:"o"`
	From  string `msgpack:"f"`
	// Stage is the number of the stage that the instance follows.
	Stage uint32 `msgpack:"n"`
	// Sent is the number of requests sent to targets of the service since the instance knows of
	// the order, and SentNew that of those sent to new ones.
	Sent    uint32       `msgpack:"s"`
	SentNew uint32       `msgpack:"w"`
	Old     Tallies      `msgpack:"t,omitempty"`
	New     Observations `msgpack:"b,omitempty"`
	// InFlightOld is the number of the instance's requests that are at old targets.
	InFlightOld int `msgpack:"a,omitempty"`
}

// Observations are observations as a message carries them.
type Observations []Observation

// Tallies are tallies as a message carries them.
type Tallies []Tally

// errTruncated is returned for reports that are cut short.
var errTruncated = errors.New("rollout: report cut short")

// observationBytes is the length of an observation in a message.
const observationBytes = 12

const (
	outcomeMask = 3
	coldBit     = 4
)

// EncodeMsgpack implements msgpack.CustomEncoder.
func (o Observations) EncodeMsgpack(enc *msgpack.Encoder) error {
	raw := make([]byte, 0, len(o)*observationBytes)
	for _, one := range o {
		raw = binary.BigEndian.AppendUint16(raw, one.Route)
		raw = binary.BigEndian.AppendUint32(raw, one.Key)
		raw = binary.BigEndian.AppendUint32(raw, one.Target)
		flags := byte(one.Outcome)
		if one.Cold {
			flags |= coldBit
		}
		raw = append(raw, byte(one.Latency), flags)
	}
	return enc.EncodeBytes(raw)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (o *Observations) DecodeMsgpack(dec *msgpack.Decoder) error {
	raw, err := dec.DecodeBytes()
	if err != nil {
		return err
	}
	if len(raw)%observationBytes != 0 {
		return errTruncated
	}
	*o = make(Observations, 0, len(raw)/observationBytes)
	for ; len(raw) > 0; raw = raw[observationBytes:] {
		*o = append(*o, Observation{
			Route:   binary.BigEndian.Uint16(raw),
			Key:     binary.BigEndian.Uint32(raw[2:]),
			Target:  binary.BigEndian.Uint32(raw[6:]),
			Latency: min(LatencyBucket(raw[10]), maxBucket),
			Outcome: Outcome(raw[11] & outcomeMask),
			Cold:    raw[11]&coldBit != 0,
		})
	}
	return nil
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (t Tallies) EncodeMsgpack(enc *msgpack.Encoder) error {
	var raw []byte
	for _, one := range t {
		raw = binary.BigEndian.AppendUint16(raw, one.Route)
		raw = binary.AppendUvarint(raw, uint64(one.Answered))
		raw = binary.AppendUvarint(raw, uint64(one.Failed))
		raw = binary.AppendUvarint(raw, uint64(len(one.Latencies)))
		for step, n := range one.Latencies {
			raw = append(raw, byte(step))
			raw = binary.AppendUvarint(raw, uint64(n))
		}
	}
	return enc.EncodeBytes(raw)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (t *Tallies) DecodeMsgpack(dec *msgpack.Decoder) error {
	raw, err := dec.DecodeBytes()
	if err != nil {
		return err
	}
	r := reader{raw: raw}
	for len(r.raw) > 0 && !r.truncated {
		one := Tally{Route: r.uint16(), Answered: r.uvarint(), Failed: r.uvarint()}
		steps := r.uvarint()
		for range min(steps, maxBucket+1) {
			if one.Latencies == nil {
				one.Latencies = make(LatencyHistogram)
			}
			step := min(LatencyBucket(r.byte()), maxBucket)
			one.Latencies[step] += r.uvarint()
		}
		*t = append(*t, one)
	}
	if r.truncated {
		return errTruncated
	}
	return nil
}

// reader reads numbers from bytes, and notes if there are too few.
type reader struct {
	raw       []byte
	truncated bool
}

func (r *reader) byte() byte {
	if len(r.raw) == 0 {
		r.truncated = true
		return 0
	}
	b := r.raw[0]
	r.raw = r.raw[1:]
	return b
}

func (r *reader) uint16() uint16 { return uint16(r.byte())<<8 | uint16(r.byte()) }

func (r *reader) uvarint() uint32 {
	n, length := binary.Uvarint(r.raw)
	if length <= 0 || n > math.MaxUint32 {
		r.truncated, r.raw = true, nil
		return 0
	}
	r.raw = r.raw[length:]
	return uint32(n)
}
