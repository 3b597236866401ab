package catalog_test

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/catalog"
)

// TestKeyIsRedacted checks that no formatting verb, JSON encoding or log handler outputs the
// secret of a key.
func TestKeyIsRedacted(t *testing.T) {
	const secret = "s3cret"
	key := catalog.NewKey(secret)
	account := catalog.Account{Name: "ada", Keys: []catalog.Key{key}}
	var shown strings.Builder
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%q", "%x"} {
		fmt.Fprintf(&shown, verb+verb+verb, key, account, map[catalog.Key]int{key: 1})
	}
	raw, err := json.Marshal([]any{key, account, map[catalog.Key]int{key: 1}})
	require.NoError(t, err)
	shown.Write(raw)
	slog.New(slog.NewJSONHandler(&shown, nil)).Info("line", "key", key, "account", account)
	slog.New(slog.NewTextHandler(&shown, nil)).Info("line", "key", key, "account", account)
	require.NotContains(t, shown.String(), secret)
	require.NotContains(t, shown.String(), fmt.Sprintf("%x", secret))
}

func TestSharedKeyIsRejected(t *testing.T) {
	a, b := catalog.NewKey("a"), catalog.NewKey("b")
	account := func(name string, keys ...catalog.Key) catalog.Account { return catalog.Account{Name: name, Keys: keys} }
	_, err := catalog.NewRouter(&catalog.Config{Accounts: []catalog.Account{account("x", a, b), account("y", b), account("z", a)}})
	require.ErrorIs(t, err, catalog.ErrSharedKey)
	require.ErrorContains(t, err, "x and y")
	require.ErrorContains(t, err, "x and z")
	router, err := catalog.NewRouter(&catalog.Config{Accounts: []catalog.Account{account("x", a, a), account("y", b, catalog.Key{}), account("z", catalog.Key{})}})
	require.NoError(t, err)
	require.Equal(t, "x", router.Account(a).Name)
	require.Equal(t, "y", router.Account(b).Name)
	require.Nil(t, router.Account(catalog.Key{}))
}

func TestHomeRegions(t *testing.T) {
	for _, c := range []struct {
		name           string
		route, account []string
		want           []string
		ok             bool
	}{
		{"none", nil, nil, nil, true},
		{"route's", []string{"a"}, nil, []string{"a"}, true},
		{"account's", nil, []string{"b", "c"}, []string{"b", "c"}, true},
		{"both", []string{"a", "b", "c"}, []string{"c", "b"}, []string{"b", "c"}, true},
		{"nothing in common", []string{"a"}, []string{"b"}, nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, ok := catalog.HomeRegions(&catalog.Route{Regions: c.route}, &catalog.Account{Regions: c.account})
			require.Equal(t, c.want, got)
			require.Equal(t, c.ok, ok)
		})
	}
	got, ok := catalog.HomeRegions(&catalog.Route{Regions: []string{"a"}}, nil)
	require.True(t, ok)
	require.Equal(t, []string{"a"}, got)
}

func TestAccountPriorityOverridesRoute(t *testing.T) {
	zero := 0
	route := &catalog.Route{Priority: 2}
	require.Equal(t, 2, catalog.PriorityOf(route, nil))
	require.Equal(t, 2, catalog.PriorityOf(route, &catalog.Account{}))
	require.Equal(t, 0, catalog.PriorityOf(route, &catalog.Account{Priority: &zero}))
}

func TestHomeRegionShares(t *testing.T) {
	account := func(rate float64, regions ...string) catalog.Account {
		return catalog.Account{Rate: rate, Regions: regions}
	}
	for _, c := range []struct {
		name     string
		accounts []catalog.Account
		want     map[string]float64
	}{
		{"none", nil, map[string]float64{}},
		{"no limits", []catalog.Account{account(0, "a")}, map[string]float64{}},
		{"no homes", []catalog.Account{account(5)}, map[string]float64{}},
		{"some", []catalog.Account{account(70), account(10, "a"), account(20, "a", "b"), account(0, "c")}, map[string]float64{"a": 0.2, "b": 0.1, "c": 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, (&catalog.Config{Accounts: c.accounts}).HomeRegionShares())
		})
	}
}

// BenchmarkAccount measures the time of Router.Account and the memory of an account with two
// keys.
func BenchmarkAccount(b *testing.B) {
	for _, n := range []int{79, 10_000, 100_000} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			config := &catalog.Config{}
			for i := range n {
				config.Accounts = append(config.Accounts, catalog.Account{
					Name: fmt.Sprintf("account-%d", i),
					Keys: []catalog.Key{catalog.NewKey(fmt.Sprintf("%020d", 2*i)), catalog.NewKey(fmt.Sprintf("%020d", 2*i+1))},
				})
			}
			router, err := catalog.NewRouter(config)
			require.NoError(b, err)
			runtime.GC()
			runtime.ReadMemStats(&after)
			key := catalog.NewKey(fmt.Sprintf("%020d", n))
			b.ReportAllocs()
			for b.Loop() {
				router.Account(key)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "bytes/account")
			runtime.KeepAlive(router)
		})
	}
}
