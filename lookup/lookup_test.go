package lookup_test

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/lookup"
	"github.com/rainford/rainford/member"
)

func block(prefix, hall string) lookup.Block {
	return lookup.Block{Prefix: netip.MustParsePrefix(prefix), Hall: hall}
}

func instance(id, hall, region string, state member.State) member.Status {
	return member.Status{Instance: member.Instance{ID: id, Hall: hall, Region: region, CallerAddr: id}, State: state, Ready: true}
}

// find returns the home hall and the IDs of the instances for a client at addr.
func find(t *testing.T, d *lookup.Directory, addr string) (home string, ids []string) {
	t.Helper()
	var a lookup.Response
	require.NoError(t, json.Unmarshal(d.Find(netip.MustParseAddr(addr)), &a))
	for _, e := range a.Instances {
		ids = append(ids, e.ID)
	}
	return a.HomeHall, ids
}

func TestDirectory(t *testing.T) {
	blocks := lookup.NewBlockTable([]lookup.Block{block("127.1.0.0/16", "a1"), block("127.1.9.0/24", "b1"), block("::/0", "b1"), block("127.2.0.0/16", "gone")})
	all := []member.Status{
		instance("a1-1", "a1", "a", member.Live), instance("a1-2", "a1", "a", member.Live),
		instance("a2-1", "a2", "a", member.Live), instance("b1-1", "b1", "b", member.Live),
		instance("a1-x", "a1", "a", member.Leaving), instance("a1-y", "a1", "a", member.Suspect),
	}
	d, err := lookup.NewDirectory(blocks, all, map[string]string{"a1": "a", "a2": "a", "b1": "b", "gone": "b"}, "a1", time.Second)
	require.NoError(t, err)
	home, ids := find(t, d, "127.1.0.5")
	require.Equal(t, "a1", home)
	require.ElementsMatch(t, []string{"a1-1", "a1-2"}, ids[:2], "the instances of the home hall come first")
	require.Equal(t, []string{"a2-1", "b1-1", "a1-y"}, ids[2:], "the rest of the region, other regions and suspected instances follow, and leaving instances are left out")
	home, _ = find(t, d, "127.1.9.1")
	require.Equal(t, "b1", home, "the longest prefix determines the home hall")
	home, _ = find(t, d, "::ffff:127.1.0.5")
	require.Equal(t, "a1", home, "an IPv4 address mapped to IPv6")
	home, _ = find(t, d, "10.0.0.1")
	require.Equal(t, "a1", home, "an address in no block gets the default hall")
	_, ids = find(t, d, "127.2.0.1")
	require.Equal(t, "b1-1", ids[0], "for a hall without instances, its region comes first")
	firsts := make(map[string]int)
	for i := range 200 {
		_, ids := find(t, d, fmt.Sprintf("127.1.1.%d", i))
		firsts[ids[0]]++
	}
	require.Greater(t, firsts["a1-1"], 50)
	require.Greater(t, firsts["a1-2"], 50)
}

func TestReplaceKeepsReceiver(t *testing.T) {
	old := []lookup.Block{block("127.1.0.0/16", "a1")}
	b := lookup.NewBlockTable(old)
	next := b.Replace(old, []lookup.Block{block("127.1.0.0/16", "b1"), block("127.3.0.0/16", "b1")})
	hall, _ := b.Hall(netip.MustParseAddr("127.1.0.1"))
	require.Equal(t, "a1", hall)
	hall, _ = next.Hall(netip.MustParseAddr("127.1.0.1"))
	require.Equal(t, "b1", hall)
	require.Equal(t, 2, next.Len())
}

func TestReadBlocksFindings(t *testing.T) {
	_, err := lookup.ReadBlocks(strings.NewReader("block,hall\n127.1.0.0/16,a1\n127.1.0.9/16,a2\nx,a1\n127.2.0.0/16,\n"))
	require.Error(t, err)
	lines := strings.Split(err.Error(), "\n")
	require.Len(t, lines, 3)
	require.Contains(t, lines[0], "line 3, column 1: 127.1.0.0/16 is already on line 2")
	require.Contains(t, lines[2], "hall: must not be empty")
	blocks, err := lookup.ReadBlocks(strings.NewReader("block,hall\n127.1.0.0/16,a1\n"))
	require.NoError(t, err)
	require.Equal(t, []lookup.Block{block("127.1.0.0/16", "a1")}, blocks)
}

// blocksOfSize returns n blocks with prefixes of 24 bits, spread over 19 halls.
func blocksOfSize(n int) []lookup.Block {
	out := make([]lookup.Block, n)
	for i := range out {
		addr := netip.AddrFrom4([4]byte{byte(1 + i>>16), byte(i >> 8), byte(i), 0})
		out[i] = lookup.Block{Prefix: netip.PrefixFrom(addr, 24), Hall: fmt.Sprintf("hall-%02d", i%19)}
	}
	return out
}

func BenchmarkFind(b *testing.B) {
	for _, n := range []int{1000, 20_000, 220_000} {
		b.Run(fmt.Sprintf("blocks%d", n), func(b *testing.B) {
			var all []member.Status
			halls := make(map[string]string)
			for i := range 38 * 19 {
				hall := fmt.Sprintf("hall-%02d", i%19)
				region := fmt.Sprintf("region-%d", i%19%7)
				halls[hall] = region
				all = append(all, instance(fmt.Sprintf("%s-%03d", hall, i), hall, region, member.Live))
			}
			d, err := lookup.NewDirectory(lookup.NewBlockTable(blocksOfSize(n)), all, halls, "hall-00", time.Second)
			require.NoError(b, err)
			addrs := make([]netip.Addr, 1024)
			for i := range addrs {
				addrs[i] = netip.AddrFrom4([4]byte{byte(1 + i%4), byte(i * 7), byte(i * 13), 9})
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				d.Find(addrs[i%len(addrs)])
				i++
			}
		})
	}
}

// BenchmarkBlocks measures the memory of the table and the size of its stored objects, per block, and
// the time to apply a change of one of the shards.
func BenchmarkBlocks(b *testing.B) {
	for _, n := range []int{1000, 20_000, 220_000} {
		b.Run(fmt.Sprintf("blocks%d", n), func(b *testing.B) {
			all := blocksOfSize(n)
			shard := all[:max(n/lookup.BlockShardCount, 1)]
			raw, err := json.Marshal(lookup.BlockShard{Blocks: shard})
			require.NoError(b, err)
			before := heapInUse()
			blocks := lookup.NewBlockTable(all)
			used := heapInUse() - before
			for b.Loop() {
				blocks = blocks.Replace(shard, shard)
			}
			b.ReportMetric(used/float64(n), "heap-B/block")
			b.ReportMetric(float64(len(raw))/float64(len(shard)), "json-B/block")
			runtime.KeepAlive(blocks)
		})
	}
}

func heapInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func BenchmarkNewDirectory(b *testing.B) {
	for _, n := range []int{12, 100, 730} {
		b.Run(fmt.Sprintf("instances%d", n), func(b *testing.B) {
			var all []member.Status
			halls := make(map[string]string)
			perHall := max(n/19, 2)
			for i := range n {
				hall := fmt.Sprintf("hall-%02d", i/perHall%19)
				halls[hall] = fmt.Sprintf("region-%d", i/perHall%7)
				all = append(all, instance(fmt.Sprintf("%s-%03d", hall, i), hall, halls[hall], member.Live))
			}
			blocks := lookup.NewBlockTable(nil)
			b.ReportAllocs()
			for b.Loop() {
				_, err := lookup.NewDirectory(blocks, all, halls, "hall-00", time.Second)
				require.NoError(b, err)
			}
		})
	}
}

func ExampleBlockTable_Hall() {
	b := lookup.NewBlockTable([]lookup.Block{
		{Prefix: netip.MustParsePrefix("127.16.0.0/16"), Hall: "accra-1"},
		{Prefix: netip.MustParsePrefix("127.16.8.0/24"), Hall: "accra-2"},
	})
	fmt.Println(b.Hall(netip.MustParseAddr("127.16.8.1")))
	// Output: accra-2 true
}
