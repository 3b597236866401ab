package table_test

import (
	"bytes"
	"flag"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rainford/rainford/table"
)

// The property tests draw the same cases in every run, unless -rapid.seed sets another seed.
func init() { _ = flag.Set("rapid.seed", "1") }

func smallTable() *table.Table {
	return &table.Table{
		Regions:  []table.Region{{Name: "accra", Halls: []string{"a1", "a2"}}, {Name: "kumasi", Halls: []string{"k1"}}},
		Services: []table.Service{{Name: "ledger", NonIdempotent: true}, {Name: "listings"}},
		Rows: []table.Row{
			{Service: "listings", From: "accra", To: "accra", Weight: 90, Cap: table.NoCap, Shift: 100},
			{Service: "listings", From: "accra", To: "kumasi", Weight: 10, Cap: 40, Shift: 25, Ramp: 2 * time.Second},
		},
	}
}

// TestReadCSVFindings checks that ReadCSV returns all faults of a text together, each with its
// line and column.
func TestReadCSVFindings(t *testing.T) {
	cases := []struct {
		name, text string
		want       []string
	}{
		{"empty", "", []string{"line 1, column 1: empty file: want the header service,from,to,weight,cap,shift,ramp"}},
		{"header", "service,from,to,load,cap,shift,ramp\n", []string{`line 1, column 17: weight: header is "load", want "weight"`}},
		{
			"cells",
			"service,from,to,weight,cap,shift,ramp\nlistings,accra,accra,ten,-1,100,0s\n,accra,kumasi,1,5,100,soon\nlistings,accra\n",
			[]string{
				`line 2, column 22: weight: "ten" is not a whole number`,
				"line 2, column 26: cap: -1 is not in 0 to 1000000",
				"line 3, column 1: service: must not be empty",
				`line 3, column 23: ramp: "soon" is not a duration such as 5s`,
				"line 4, column 1: 2 cells, want 7",
			},
		},
		{
			"twice",
			"service,from,to,weight,cap,shift,ramp\ns,a,a,1,,100,0s\ns,a,a,2,,100,0s\n",
			[]string{"line 3, column 1: service: row s a>a is already on line 2"},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := table.ReadCSV(strings.NewReader(c.text))
			require.Error(t, err)
			require.Equal(t, c.want, strings.Split(err.Error(), "\n"))
		})
	}
}

func TestCheckFindings(t *testing.T) {
	cases := []struct {
		name   string
		change func(*table.Table)
		want   string
	}{
		{"valid", func(*table.Table) {}, ""},
		{"no cap between regions", func(t *table.Table) { t.Rows[1].Cap = table.NoCap }, "a row between regions needs a cap"},
		{"no such region", func(t *table.Table) { t.Rows[1].To = "tema" }, `no region "tema"`},
		{"no such service", func(t *table.Table) { t.Rows[0].Service = "x" }, `no service "x"`},
		{"nothing weighs", func(t *table.Table) { t.Rows[0].Weight, t.Rows[1].Weight = 0, 0 }, "every weight of listings from accra is 0"},
		{"shift without ramp", func(t *table.Table) { t.Rows[1].Ramp = 0 }, "a shift below 100 needs a ramp"},
		{"hall twice", func(t *table.Table) { t.Regions[1].Halls = []string{"a1"} }, "a1 belongs to accra and kumasi"},
		{"bad name", func(t *table.Table) { t.Services[0].Name = "Led/ger" }, `"Led/ger": want 1 to 63 of a-z, 0-9 and -`},
		{"drain of nothing", func(t *table.Table) { t.SetDrain(table.Drain{Scope: table.ScopeHall, Name: "z9"}, true) }, `no hall "z9"`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tab := smallTable()
			c.change(tab)
			findings := table.Check(tab, nil)
			if c.want == "" {
				require.Empty(t, findings)
				return
			}
			require.ErrorContains(t, findings.Err(), c.want)
		})
	}
}

func drawTable(t *rapid.T, label string) *table.Table {
	tab := smallTable()
	for i := range tab.Rows {
		tab.Rows[i].Weight = rapid.IntRange(1, 4).Draw(t, label+"weight")
		tab.Rows[i].Shift = rapid.IntRange(98, 100).Draw(t, label+"shift")
		tab.Rows[i].Ramp = time.Second
	}
	tab.Rows[1].Cap = rapid.IntRange(1, 3).Draw(t, label+"cap")
	if rapid.Bool().Draw(t, label+"drain") {
		tab.SetDrain(table.Drain{Scope: table.ScopeRegion, Name: "kumasi"}, true)
	}
	if rapid.Bool().Draw(t, label+"drop") {
		tab.Rows = tab.Rows[:1]
	}
	return tab
}

func TestCSVRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tab := drawTable(t, "")
		var buf bytes.Buffer
		require.NoError(t, table.WriteCSV(&buf, tab.Rows))
		sheet, err := table.ReadCSV(&buf)
		require.NoError(t, err)
		require.Equal(t, tab.Rows, sheet.Rows)
	})
}

// TestMergeMatchesDefinition checks Merge against its definition: a cell that one side changed has
// the value of that side, a cell that both sides changed to different values is a conflict, and no
// other cell changes. It also checks that Undo reverts the result.
func TestMergeMatchesDefinition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, mine, theirs := drawTable(t, "base "), drawTable(t, "mine "), drawTable(t, "theirs ")
		merged, conflicts := table.Merge(base, mine, theirs)
		clash := false
		want := make(map[table.Cell]string)
		for _, c := range table.Diff(base, theirs) {
			want[c.Cell] = c.After
		}
		for _, c := range table.Diff(base, mine) {
			other, both := want[c.Cell]
			clash = clash || both && other != c.After
			want[c.Cell] = c.After
		}
		if clash {
			require.NotEmpty(t, conflicts)
		}
		if len(conflicts) > 0 {
			require.Nil(t, merged)
			return
		}
		got := make(map[table.Cell]string)
		for _, c := range table.Diff(base, merged) {
			got[c.Cell] = c.After
		}
		require.Equal(t, want, got)
		require.Empty(t, table.Diff(base, table.Undo(merged, table.Diff(base, merged))))
	})
}
