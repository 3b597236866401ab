package soak

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// FaultKind is a kind of fault. Its value is printed in reports.
type FaultKind string

// The kinds of faults.
const (
	InstanceTerm      FaultKind = "instance-term"
	InstanceKill      FaultKind = "instance-kill"
	InstancePause     FaultKind = "instance-pause"
	InstanceReload    FaultKind = "instance-reload"
	KillAll           FaultKind = "kill-all"
	FrontLink         FaultKind = "front-link"
	PeerLink          FaultKind = "peer-link"
	StoreLink         FaultKind = "store-link"
	LinkReset         FaultKind = "link-reset"
	StoreDown         FaultKind = "store-down"
	StoreSlow         FaultKind = "store-slow"
	StoreLosesReplies FaultKind = "store-loses-replies"
	StoreCompacts     FaultKind = "store-forgets"
	ServerCrash       FaultKind = "server-crash"
	ServerSlow        FaultKind = "server-slow"
	ServerFaults      FaultKind = "server-faults"
	ServerDrain       FaultKind = "server-drain"
	AddressReuse      FaultKind = "server-address-reused"
	ServerResets      FaultKind = "server-forgets-connections"
	NewServer         FaultKind = "new-server"
	Evacuation        FaultKind = "evacuation"
	ConfigChange      FaultKind = "config-change"
	ConfigStorm       FaultKind = "config-storm"
	KeyChange         FaultKind = "key-change"
	LinkSilence       FaultKind = "link-silence"
	ServerSilence     FaultKind = "server-silence"
	CrashingRequests  FaultKind = "ending-requests"
	ForeignEntry      FaultKind = "foreign-entry"
	ServerRestart     FaultKind = "server-starts-under-its-id"
	ServerLeaving     FaultKind = "server-leaves-by-word"
	ServerBackoff     FaultKind = "server-asks-for-rest"
	ServerBadHeaders  FaultKind = "server-says-wrong-words"
	ServerLimits      FaultKind = "server-names-limit"
	Rollout           FaultKind = "rollout"
	StoreRestored     FaultKind = "store-restored"
	TargetLinks       FaultKind = "links-to-servers"
	HallLinks         FaultKind = "links-between-halls"
	HallPower         FaultKind = "hall-without-power"
)

// silenceKinds are drawn from a random source of their own. A kind that is added to baseKinds
// would change the plan of every recorded seed.
var silenceKinds = []FaultKind{KeyChange, LinkSilence, ServerSilence}

// entryKinds are faults on the entries of servers. They are drawn from a random source of
// their own, as silenceKinds are.
var entryKinds = []FaultKind{ForeignEntry, ServerRestart}

// signalKinds are signals that servers send in headers. They are drawn from a random source of
// their own, as silenceKinds are. ServerLimits has yet another source.
var signalKinds = []FaultKind{ServerLeaving, ServerBackoff, ServerBackoff, ServerBadHeaders}

// baseKinds lists the kinds that are drawn from the first random source, with their relative
// frequencies.
var baseKinds = []struct {
	kind   FaultKind
	weight int
}{
	{InstanceTerm, 4}, {InstanceKill, 3}, {InstancePause, 3}, {InstanceReload, 2}, {KillAll, 1},
	{FrontLink, 3}, {PeerLink, 3}, {StoreLink, 4}, {LinkReset, 3},
	{StoreDown, 2}, {StoreSlow, 2}, {StoreLosesReplies, 1}, {StoreCompacts, 2},
	{ServerCrash, 3}, {ServerSlow, 2}, {ServerFaults, 5}, {ServerDrain, 4}, {AddressReuse, 3}, {ServerResets, 3}, {NewServer, 3},
	{Evacuation, 3}, {ConfigChange, 5}, {ConfigStorm, 2},
}

// Fault is one fault of a plan.
type Fault struct {
	At   time.Duration
	For  time.Duration
	Kind FaultKind
	// Which selects the instance, server or hall, modulo their number. How selects the
	// variant.
	Which, How int
}

// String returns the fault in one line, with its start, kind, Which, How and duration.
func (f Fault) String() string {
	return fmt.Sprintf("%.1fs %s(%d,%d) for %.1fs", f.At.Seconds(), f.Kind, f.Which, f.How, f.For.Seconds())
}

// gaps are the base intervals between faults, one of which the seed selects. At short
// intervals faults overlap. Long intervals leave instances undisturbed for long enough for the
// checks with a time bound to apply.
var gaps = []time.Duration{600 * time.Millisecond, 1500 * time.Millisecond, 3500 * time.Millisecond}

// Plan returns the faults of a seed in order of their start. The faults may overlap. The last
// starts before six tenths of the duration have passed.
func Plan(seed uint64, duration time.Duration) []Fault {
	rnd := rand.New(rand.NewPCG(seed, 1))
	total := 0
	for _, k := range baseKinds {
		total += k.weight
	}
	var out []Fault
	last := duration * 6 / 10
	gap := gaps[rnd.IntN(len(gaps))]
	for at := 500 * time.Millisecond; at < last; at += gap/4 + time.Duration(rnd.Int64N(int64(gap))) {
		f := Fault{At: at, For: time.Duration(300+rnd.IntN(3500)) * time.Millisecond, Which: rnd.IntN(1 << 16), How: rnd.IntN(1 << 16)}
		point := rnd.IntN(total)
		for _, k := range baseKinds {
			point -= k.weight
			if point < 0 {
				f.Kind = k.kind
				break
			}
		}
		out = append(out, f)
	}
	silences := rand.New(rand.NewPCG(seed, 2))
	for at := 700 * time.Millisecond; at < last; at += gap + time.Duration(silences.Int64N(int64(3*gap))) {
		out = append(out, Fault{At: at, Kind: silenceKinds[silences.IntN(len(silenceKinds))], Which: silences.IntN(1 << 16), How: silences.IntN(1 << 16)})
	}
	crashes := rand.New(rand.NewPCG(seed, 4))
	at := 700*time.Millisecond + time.Duration(crashes.Int64N(int64(duration/10)))
	out = append(out, Fault{At: at, For: last - at, Kind: CrashingRequests, Which: crashes.IntN(1 << 16), How: crashes.IntN(1 << 16)})
	entries := rand.New(rand.NewPCG(seed, 6))
	for at := 900 * time.Millisecond; at < last; at += 2*gap + time.Duration(entries.Int64N(int64(3*gap))) {
		out = append(out, Fault{At: at, For: time.Duration(300+entries.IntN(2000)) * time.Millisecond, Kind: entryKinds[entries.IntN(len(entryKinds))],
			Which: entries.IntN(1 << 16), How: entries.IntN(1 << 16)})
	}
	signals := rand.New(rand.NewPCG(seed, 8))
	for at := 1100 * time.Millisecond; at < last; at += 2*gap + time.Duration(signals.Int64N(int64(3*gap))) {
		out = append(out, Fault{At: at, For: time.Duration(1000+signals.IntN(4000)) * time.Millisecond, Kind: signalKinds[signals.IntN(len(signalKinds))],
			Which: signals.IntN(1 << 16), How: signals.IntN(1 << 16)})
	}
	limits := rand.New(rand.NewPCG(seed, 10))
	for at := 1300 * time.Millisecond; at < last-minLimitTime; at += 3*gap + time.Duration(limits.Int64N(int64(4*gap))) {
		length := minLimitTime + time.Duration(limits.Int64N(int64(last-minLimitTime-at)))
		out = append(out, Fault{At: at, For: length, Kind: ServerLimits, Which: limits.IntN(1 << 16), How: limits.IntN(1 << 16)})
	}
	rollouts := rand.New(rand.NewPCG(seed, 12))
	for at := 1500 * time.Millisecond; at < last-rolloutTime/2; at += rolloutTime + time.Duration(rollouts.Int64N(int64(rolloutTime))) {
		out = append(out, Fault{At: at, For: rolloutTime, Kind: Rollout, Which: rollouts.IntN(1 << 16), How: rollouts.IntN(1 << 16)})
	}
	restores := rand.New(rand.NewPCG(seed, 14))
	if restores.IntN(2) == 0 {
		for at := 1700 * time.Millisecond; at < last; at += 4*gap + time.Duration(restores.Int64N(int64(6*gap))) {
			out = append(out, Fault{At: at, For: time.Duration(restores.IntN(5000)) * time.Millisecond, Kind: StoreRestored,
				Which: restores.IntN(1 << 16), How: restores.IntN(1 << 16)})
		}
	}
	links := rand.New(rand.NewPCG(seed, 16))
	linkKinds := rand.New(rand.NewPCG(seed, 18))
	for at := 1200 * time.Millisecond; at < last; {
		f := Fault{At: at, For: minCutTime + time.Duration(links.Int64N(int64(minCutTime/2))), Kind: TargetLinks, Which: links.IntN(1 << 16), How: links.IntN(1 << 16)}
		// One cut of an instance's links at a time can be brought about.
		if linkKinds.IntN(3) == 0 {
			f.Kind = HallLinks
		}
		out = append(out, f)
		at += f.For + time.Duration(links.Int64N(int64(minCutTime)))
	}
	outages := rand.New(rand.NewPCG(seed, 20))
	if outages.IntN(2) == 0 {
		at := 2*time.Second + time.Duration(outages.Int64N(int64(max(last/2, 1))))
		out = append(out, Fault{At: at, For: minOutageTime + time.Duration(outages.Int64N(int64(minOutageTime/2))), Kind: HallPower, Which: outages.IntN(1 << 16), How: outages.IntN(1 << 16)})
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].At < out[j].At })
	return out
}
