package catalog_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rainford/rainford/catalog"
)

// findByDefinition is the reference implementation of Router.Find. It searches all routes
// of the host for the longest prefix of the path.
func findByDefinition(config *catalog.Config, host, path string) string {
	name, longest := "", -1
	for _, r := range config.Routes {
		if r.Host == host && strings.HasPrefix(path, r.Prefix) && len(r.Prefix) > longest {
			name, longest = r.Name, len(r.Prefix)
		}
	}
	return name
}

func TestFindIsLongestPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		segment := rapid.SampledFrom([]string{"a", "b", "ab", ""})
		pathOf := func(label string) string {
			return "/" + strings.Join(rapid.SliceOfN(segment, 0, 4).Draw(t, label), "/")
		}
		config := &catalog.Config{}
		seen := map[string]bool{}
		for i := range rapid.IntRange(0, 12).Draw(t, "routes") {
			r := catalog.Route{
				Name:   fmt.Sprint("r", i),
				Host:   rapid.SampledFrom([]string{"x.example", "y.example"}).Draw(t, "host"),
				Prefix: strings.TrimSuffix(pathOf("prefix"), "/") + "/",
			}
			if seen[r.Host+r.Prefix] {
				continue
			}
			seen[r.Host+r.Prefix] = true
			config.Routes = append(config.Routes, r)
		}
		router, err := catalog.NewRouter(config)
		require.NoError(t, err)
		host, path := "x.example", pathOf("path")+rapid.SampledFrom([]string{"", "/", "x"}).Draw(t, "end")
		got := ""
		if r := router.Find(host+":8080", path); r != nil {
			got = r.Name
		}
		require.Equal(t, findByDefinition(config, host, path), got)
	})
}

func TestServicesFollowWeights(t *testing.T) {
	route := &catalog.Route{Services: []catalog.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	counts := map[string]int{}
	for i := range 20000 {
		counts[route.ServiceFor(fmt.Sprintf("%016x", i*7919))]++
	}
	require.InDelta(t, 18000, counts["a"], 400)
	require.InDelta(t, 2000, counts["b"], 400)
}

func BenchmarkFind(b *testing.B) {
	for _, n := range []int{8, 1000, 8000} {
		b.Run(fmt.Sprintf("routes=%d", n), func(b *testing.B) {
			config := &catalog.Config{}
			for i := range n {
				config.Routes = append(config.Routes, catalog.Route{Host: fmt.Sprintf("h%d.example", i%50), Prefix: fmt.Sprintf("/p%d/", i)})
			}
			router, err := catalog.NewRouter(config)
			require.NoError(b, err)
			b.ReportAllocs()
			for b.Loop() {
				router.Find("h7.example", "/p7/2f")
			}
		})
	}
}
