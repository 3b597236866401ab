package table_test

import (
	"bytes"
	"reflect"
	"strings"
	"testing"

	"github.com/rainford/rainford/table"
)

// FuzzReadCSV checks for arbitrary texts that rows that ReadCSV accepts without a finding are the
// same after they have been written and read again.
func FuzzReadCSV(f *testing.F) {
	f.Add("service,from,to,weight,cap,shift,ramp\nlistings,accra,kumasi,40,120,15,10s\n")
	f.Add("service,from,to,weight,cap,shift,ramp\r\n# a comment\r\n\"a\"\"b\",accra,accra,,,,\r\n")
	f.Add("service,from,to\nlistings,accra,kumasi\n")
	f.Add("\"")
	f.Fuzz(func(t *testing.T, text string) {
		sheet, err := table.ReadCSV(strings.NewReader(text))
		if err != nil {
			return
		}
		var out bytes.Buffer
		if err := table.WriteCSV(&out, sheet.Rows); err != nil {
			t.Fatal(err)
		}
		again, err := table.ReadCSV(bytes.NewReader(out.Bytes()))
		if err != nil {
			t.Fatalf("%v in %q", err, out.String())
		}
		if len(sheet.Rows)+len(again.Rows) > 0 && !reflect.DeepEqual(sheet.Rows, again.Rows) {
			t.Fatalf("%+v became %+v", sheet.Rows, again.Rows)
		}
	})
}
