package demo

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/rainford/rainford/lookup"
	"github.com/rainford/rainford/table"
)

// Estate is the size of one operator's system.
type Estate struct {
	Name     string
	Regions  []string
	Services []ServiceSize
	// PerHall is the number of entry instances of each hall.
	PerHall int
}

// ServiceSize is the size of a service.
type ServiceSize struct {
	Name    string
	Once    bool
	Targets int
	Slots   int
	Time    time.Duration
}

// HallsPerRegion is the number of halls of each region of the estates.
const HallsPerRegion = 2

// EstateDesk returns the sizes of EstateDesk.
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

// PampaSerrano returns the sizes of Pampa Serrano.
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

// ByName returns an estate.
func ByName(name string) (Estate, error) {
	for _, e := range []Estate{EstateDesk(), PampaSerrano()} {
		if e.Name == name {
			return e, nil
		}
	}
	return Estate{}, fmt.Errorf("demo: no estate %q: want estatedesk or pampa", name)
}

// Halls returns the halls of a region.
func Halls(region string) []string {
	out := make([]string, HallsPerRegion)
	for i := range out {
		out[i] = fmt.Sprintf("%s-%d", region, i+1)
	}
	return out
}

// Settings of the demo's rows.
const (
	localWeight  = 90
	remoteWeight = 5
	remoteCap    = 40
	remoteShift  = 50
	remoteRamp   = time.Second
	floorPercent = 20
)

// Table returns the table that the demo starts with.
func (e Estate) Table() *table.Table {
	t := &table.Table{}
	for _, r := range e.Regions {
		t.Regions = append(t.Regions, table.Region{Name: r, Halls: Halls(r)})
	}
	for _, s := range e.Services {
		t.Services = append(t.Services, table.Service{Name: s.Name, NonIdempotent: s.Once, Reserve: floorPercent})
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

// firstBlock is the second number of the first hall's block of 127.0.0.0/8.
const firstBlock = 16

// Blocks returns one block of loopback addresses for each hall.
func (e Estate) Blocks() []lookup.Block {
	var out []lookup.Block
	for i, hall := range e.AllHalls() {
		prefix := netip.PrefixFrom(netip.AddrFrom4([4]byte{127, byte(firstBlock + i), 0, 0}), 16)
		out = append(out, lookup.Block{Prefix: prefix, Hall: hall})
	}
	return out
}

// AllHalls returns the halls of all regions.
func (e Estate) AllHalls() []string {
	var out []string
	for _, r := range e.Regions {
		out = append(out, Halls(r)...)
	}
	return out
}
