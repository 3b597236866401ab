package demo

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/rainford/rainford/lookup"
	"github.com/rainford/rainford/table"
)

// Estate describes the deployment of one operator: its regions and services and
// their sizes.
type Estate struct {
	Name     string
	Regions  []string
	Services []ServiceSize
	// PerHall is the number of instances in each hall.
	PerHall int
}

// ServiceSize describes a service and its targets.
type ServiceSize struct {
	Name string
	// Once marks a service whose requests must run at most once.
	Once bool
	// Targets is the number of targets in the whole estate, and Slots the number
	// of requests that each of them runs concurrently.
	Targets int
	Slots   int
	// Time is the duration of one request on a target.
	Time time.Duration
}

// HallsPerRegion is the number of halls in each region.
const HallsPerRegion = 2

// EstateDesk returns the estate of the operator EstateDesk.
func EstateDesk() Estate {
	return Estate{
		Name:    "estatedesk",
		Regions: []string{"accra", "kumasi", "takoradi"},
		Services: []ServiceSize{
			{Name: "listings", Targets: 25, Slots: 6, Time: 20 * time.Millisecond},
			{Name: "ledger", Once: true, Targets: 12, Slots: 6, Time: 30 * time.Millisecond},
			{Name: "docs-desk", Targets: 12, Slots: 6, Time: 60 * time.Millisecond},
		},
		PerHall: 2,
	}
}

// PampaSerrano returns the estate of the operator Pampa Serrano.
func PampaSerrano() Estate {
	return Estate{
		Name:    "pampa",
		Regions: []string{"porto-alegre", "florianopolis", "curitiba"},
		Services: []ServiceSize{
			{Name: "consulta", Targets: 20, Slots: 4, Time: 20 * time.Millisecond},
			{Name: "caixa", Once: true, Targets: 12, Slots: 4, Time: 30 * time.Millisecond},
			{Name: "registro", Targets: 12, Slots: 4, Time: 60 * time.Millisecond},
		},
		PerHall: 2,
	}
}

// ByName returns the estate of the given name, or an error if there is none.
func ByName(name string) (Estate, error) {
	for _, e := range []Estate{EstateDesk(), PampaSerrano()} {
		if e.Name == name {
			return e, nil
		}
	}
	return Estate{}, fmt.Errorf("demo: unknown estate %q: want estatedesk or pampa", name)
}

// Halls returns the halls of a region.
func Halls(region string) []string {
	out := make([]string, HallsPerRegion)
	for i := range out {
		out[i] = fmt.Sprintf("%s-%d", region, i+1)
	}
	return out
}

// Settings of the routing table that the demo starts with. Weights and caps
// (requests per second) hold for a row; remoteShift and reservePercent are
// percentages.
const (
	localWeight    = 90
	remoteWeight   = 5
	remoteCap      = 40
	remoteShift    = 50
	remoteRamp     = time.Second
	reservePercent = 20
)

// Table returns the routing table that the demo starts with: one row for each
// service and pair of regions, with caps on the rows between different regions.
func (e Estate) Table() *table.Table {
	t := &table.Table{}
	for _, r := range e.Regions {
		t.Regions = append(t.Regions, table.Region{Name: r, Halls: Halls(r)})
	}
	for _, s := range e.Services {
		t.Services = append(t.Services, table.Service{Name: s.Name, NonIdempotent: s.Once, Reserve: reservePercent})
		for _, from := range e.Regions {
			for _, to := range e.Regions {
				t.Rows = append(t.Rows, demoRow(s.Name, from, to))
			}
		}
	}
	return t
}

func demoRow(service, from, to string) table.Row {
	row := table.Row{Service: service, From: from, To: to, Weight: localWeight, Cap: table.NoCap, Shift: table.FullShift}
	if from != to {
		row.Weight = remoteWeight
		row.Cap = remoteCap
		row.Shift = remoteShift
		row.Ramp = remoteRamp
	}
	return row
}

// firstBlock is the second octet of the first hall's address block, which is a /16
// of 127.0.0.0/8.
const firstBlock = 16

// Blocks returns one /16 block of loopback addresses for each hall. Clients with an
// address in a block belong to its hall.
func (e Estate) Blocks() []lookup.Block {
	var out []lookup.Block
	for i, hall := range e.AllHalls() {
		prefix := netip.PrefixFrom(netip.AddrFrom4([4]byte{127, byte(firstBlock + i), 0, 0}), 16)
		out = append(out, lookup.Block{Prefix: prefix, Hall: hall})
	}
	return out
}

// AllHalls returns the halls of all regions, in the order of the regions.
func (e Estate) AllHalls() []string {
	var out []string
	for _, r := range e.Regions {
		out = append(out, Halls(r)...)
	}
	return out
}
