package lookup

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/netip"
	"sort"
	"time"

	"github.com/rainford/rainford/member"
)

// Instance is one instance of an answer.
type Instance struct {
	ID     string `json:"id"`
	Addr   string `json:"addr"`
	Hall   string `json:"hall"`
	Region string `json:"region"`
}

// Response is the answer to a look-up.
type Response struct {
	// TTLMillis is how long the caller may keep the answer.
	TTLMillis int64      `json:"ttl_ms"`
	HomeHall  string     `json:"home"`
	Instances []Instance `json:"instances"`
}

// maxInstances bounds an answer: a caller needs a few to fail over to.
const maxInstances = 16

// Directory answers look-ups. It is immutable and safe for concurrent use.
type Directory struct {
	blocks    *BlockTable
	responses map[string][][]byte
	// defaultHall is the hall of callers that no block holds.
	defaultHall string
}

// NewDirectory prepares the answers for the instances in view. Halls maps each
// hall to its region. Own is the hall that callers of no block are taken to be
// in, and must be among halls.
func NewDirectory(blocks *BlockTable, instances []member.Status, halls map[string]string, defaultHall string, ttl time.Duration) (*Directory, error) {
	if _, ok := halls[defaultHall]; !ok {
		panic("lookup: own hall is not among the halls")
	}
	d := &Directory{blocks: blocks, responses: make(map[string][][]byte), defaultHall: defaultHall}
	for hall, region := range halls {
		variants, err := encodeResponses(instances, hall, region, ttl)
		if err != nil {
			return nil, err
		}
		d.responses[hall] = variants
	}
	return d, nil
}

// Find returns the encoded Answer for a caller at addr. The result must not be
// changed.
func (d *Directory) Find(addr netip.Addr) []byte {
	hall, ok := d.blocks.Hall(addr)
	variants := d.responses[hall]
	if !ok || len(variants) == 0 {
		variants = d.responses[d.defaultHall]
	}
	return variants[int(addressHash(addr)%uint32(len(variants)))]
}

// addressHash returns a number that spreads callers over the instances of a hall.
func addressHash(addr netip.Addr) uint32 {
	raw := addr.Unmap().As16()
	h := uint32(2166136261)
	for _, b := range raw {
		h ^= uint32(b)
		h *= 16777619
	}
	return h >> 8
}

// encodeResponses returns one encoded answer for each turn of the home hall's
// instances.
func encodeResponses(instances []member.Status, hall, region string, ttl time.Duration) ([][]byte, error) {
	groups := groupByDistance(instances, hall, region)
	rotations := max(len(groups[0]), 1)
	out := make([][]byte, rotations)
	for i := range rotations {
		a := Response{TTLMillis: ttl.Milliseconds(), HomeHall: hall}
		for _, g := range groups {
			a.Instances = appendRotated(a.Instances, g, i)
		}
		raw, err := json.Marshal(a)
		if err != nil {
			return nil, fmt.Errorf("lookup: encode: %w", err)
		}
		out[i] = append(raw, '\n')
	}
	return out, nil
}

// groupByDistance returns the instances that are listed, by distance.
func groupByDistance(instances []member.Status, hall, region string) [4][]Instance {
	var out [4][]Instance
	for _, in := range instances {
		e := Instance{ID: in.ID, Addr: in.CallerAddr, Hall: in.Hall, Region: in.Region}
		switch {
		case in.State == member.Leaving:
		case in.State == member.Suspect || !in.Ready:
			out[3] = append(out[3], e)
		case in.Hall == hall:
			out[0] = append(out[0], e)
		case in.Region == region:
			out[1] = append(out[1], e)
		default:
			out[2] = append(out[2], e)
		}
	}
	// The order of the others differs from hall to hall, so that callers of
	// many halls do not fail over to the same instance.
	for i := range out {
		sortByHash(out[i], hall)
	}
	return out
}

// sortByHash sorts instances in an order of the hall's own.
func sortByHash(instances []Instance, hall string) {
	hashes := make(map[string]uint32, len(instances))
	for _, e := range instances {
		h := fnv.New32a()
		_, _ = h.Write([]byte(hall))
		_, _ = h.Write([]byte(e.ID))
		hashes[e.ID] = h.Sum32()
	}
	sort.Slice(instances, func(a, b int) bool { return hashes[instances[a].ID] < hashes[instances[b].ID] })
}

// appendRotated appends instances from number by on, then those before it, as far
// as there is room in an answer.
func appendRotated(out, instances []Instance, offset int) []Instance {
	for i := range instances {
		if len(out) == maxInstances {
			break
		}
		out = append(out, instances[(offset+i)%len(instances)])
	}
	return out
}
