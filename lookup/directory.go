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

// Instance is an instance in a Response.
type Instance struct {
	ID     string `json:"id"`
	Addr   string `json:"addr"`
	Hall   string `json:"hall"`
	Region string `json:"region"`
}

// Response is the response to a look-up.
type Response struct {
	// TTLMillis is the time, in milliseconds, for which the client may use the response.
	TTLMillis int64 `json:"ttl_ms"`
	// HomeHall is the home hall of the client.
	HomeHall string `json:"home"`
	// Instances are the instances in the order in which the client should prefer them.
	Instances []Instance `json:"instances"`
}

// maxInstances is the maximum number of instances in a response. A client needs only a few to fail
// over to.
const maxInstances = 16

// Directory returns the responses to look-ups. It is immutable and safe for concurrent use.
type Directory struct {
	blocks    *BlockTable
	responses map[string][][]byte
	// defaultHall is the home hall of clients whose address is in no block.
	defaultHall string
}

// NewDirectory returns a directory of the given instances, whose responses are valid for ttl. Halls
// maps each hall to its region. Clients whose address is in no block, or in a block of a hall that is
// not in halls, have defaultHall as their home hall. NewDirectory panics if defaultHall is not in
// halls.
func NewDirectory(blocks *BlockTable, instances []member.Status, halls map[string]string, defaultHall string, ttl time.Duration) (*Directory, error) {
	if _, ok := halls[defaultHall]; !ok {
		panic("lookup: the default hall is not among the halls")
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

// Find returns the encoded Response for a client at addr. The caller must not change it.
func (d *Directory) Find(addr netip.Addr) []byte {
	hall, ok := d.blocks.Hall(addr)
	variants := d.responses[hall]
	if !ok || len(variants) == 0 {
		variants = d.responses[d.defaultHall]
	}
	return variants[int(addressHash(addr)%uint32(len(variants)))]
}

// addressHash returns a hash of an address (FNV-1a without the low 8 bits) that spreads the clients
// of a hall over its instances.
func addressHash(addr netip.Addr) uint32 {
	raw := addr.Unmap().As16()
	h := uint32(2166136261)
	for _, b := range raw {
		h ^= uint32(b)
		h *= 16777619
	}
	return h >> 8
}

// encodeResponses returns the encoded responses for a home hall, one for each rotation of the hall's
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

// groupByDistance returns the instances that a response lists, in the order of the groups: the home
// hall, the rest of its region, other regions, and the suspected instances and those not ready. It
// leaves out leaving instances.
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
	// The order within a group depends on the home hall, so that the clients
	// of different halls do not all fail over to the same instance.
	for i := range out {
		sortByHash(out[i], hall)
	}
	return out
}

// sortByHash sorts instances by a hash of the hall and the instance ID.
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

// appendRotated appends instances to out, beginning with the one at offset modulo their number and
// wrapping around at the end. It stops when out has maxInstances instances.
func appendRotated(out, instances []Instance, offset int) []Instance {
	for i := range instances {
		if len(out) == maxInstances {
			break
		}
		out = append(out, instances[(offset+i)%len(instances)])
	}
	return out
}
