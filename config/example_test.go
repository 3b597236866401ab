package config_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rainford/rainford/config"
	"github.com/rainford/rainford/table"
)

func ExampleEditor_Edit() {
	editor := &config.Editor{
		Store:    newFakeStore(),
		Operator: "ama",
		Command:  "region set accra a1 a2",
		NewID:    func() string { return "1" },
		Now:      func() time.Time { return time.Unix(0, 0) },
	}
	addAccra := func(t *table.Table) error {
		t.Regions = []table.Region{{Name: "accra", Halls: []string{"a1", "a2"}}}
		return nil
	}
	change, err := editor.Edit(context.Background(), addAccra)
	fmt.Println(change.Number, change.Cells[0].Cell, err)
	_, err = editor.Edit(context.Background(), addAccra)
	fmt.Println(errors.Is(err, config.ErrNoChange))
	// Output:
	// 1 region accra halls <nil>
	// true
}
