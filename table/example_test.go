package table_test

import (
	"fmt"
	"strings"

	"github.com/rainford/rainford/table"
)

func ExampleCheck() {
	sheet, err := table.ReadCSV(strings.NewReader(`service,from,to,weight,cap,shift,ramp
listings,accra,accra,90,,100,0s
listings,accra,kumasi,10,,100,0s
`))
	if err != nil {
		fmt.Println(err)
	}
	t := &table.Table{
		Regions:  []table.Region{{Name: "accra", Halls: []string{"a1"}}, {Name: "kumasi", Halls: []string{"k1"}}},
		Services: []table.Service{{Name: "listings"}},
		Rows:     sheet.Rows,
	}
	fmt.Println(table.Check(t, sheet).Err())
	// Output:
	// line 3, column 26: cap: listings accra>kumasi: a row between regions needs a cap
}
