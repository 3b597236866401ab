package rollout

import (
	"encoding/binary"
	"errors"
	"math"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Outcome is the result of a request at a target, as far as it is evidence about the target's
// version.
type Outcome uint8

// Outcomes of a request. Results that are no evidence about the version, such as a rejection by a
// full target, are not observed.
const (
	// Answered requests got a response that does not indicate a failure of the target.
	Answered Outcome = iota
	// Failed requests got a response that indicates a failure of the target.
	Failed
	// Unanswered requests got no response in time, or an incomplete one.
	Unanswered
)

// Observation is the result of a request that was sent to a target. Reports contain those of new
// targets.
type Observation struct {
	// Route, Key and Target are hashes of the respective names.
	Route   uint16
	Key     uint32
	Target  uint32
	Latency LatencyBucket
	Outcome Outcome
	// Cold reports whether the target had just started.
	Cold bool
}

// LatencyBucket is a latency on a logarithmic scale.
type LatencyBucket uint8

// bucketsPerDoubling is the number of buckets per factor of two. maxBucket is the bucket of the
// longest latencies.
const (
	bucketsPerDoubling = 4
	maxBucket          = 79
)

// BucketOf returns the bucket of a latency. Latencies below 1 ms are in the first bucket.
func BucketOf(took time.Duration) LatencyBucket {
	ms := max(1, float64(took)/float64(time.Millisecond))
	return LatencyBucket(min(maxBucket, bucketsPerDoubling*math.Log2(ms)))
}

// Duration returns the latency in the middle of the bucket.
func (t LatencyBucket) Duration() time.Duration {
	return time.Duration(math.Exp2((float64(t)+0.5)/bucketsPerDoubling) * float64(time.Millisecond))
}

// scale returns the bucket of a multiple of the latency.
func (t LatencyBucket) scale(factor float64) LatencyBucket {
	return LatencyBucket(min(maxBucket, float64(t)+bucketsPerDoubling*math.Log2(factor)))
}

// LatencyHistogram counts responses by their latency.
type LatencyHistogram map[LatencyBucket]uint32

// Tally counts the completed requests of a route at old targets.
type Tally struct {
	Route            uint16
	Answered, Failed uint32
	// Latencies are those of the answered requests.
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

// Report is an instance's report to the leader. It covers the time since the instance's previous
// report, except for Sent, SentNew and InFlightOld. After a change of the leader, Old and New also
// contain what was kept of the reports to the previous leader.
type Report struct {
	Order ID     `msgpack:"o"`
	From  string `msgpack:"f"`
	// Stage is the number of the stage that the instance follows.
	Stage uint32 `msgpack:"n"`
	// Sent is the number of requests that the instance has sent to targets of the service since it
	// has known the order, SentNew the number of those that were sent to new targets.
	Sent    uint32       `msgpack:"s"`
	SentNew uint32       `msgpack:"w"`
	Old     Tallies      `msgpack:"t,omitempty"`
	New     Observations `msgpack:"b,omitempty"`
	// InFlightOld is the number of the instance's requests in flight at old targets.
	InFlightOld int `msgpack:"a,omitempty"`
}

// Observations are observations with their encoding in messages.
type Observations []Observation

// Tallies are tallies with their encoding in messages.
type Tallies []Tally

// errTruncated is returned for truncated reports.
var errTruncated = errors.New("rollout: report truncated")

// observationBytes is the length of an encoded observation.
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

// reader decodes numbers from bytes. Its field truncated is set if there are too few bytes or a
// number is too large.
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
