package node

import (
	"log/slog"
	"time"

	"github.com/rainford/rainford/claim"
)

// slowWriteTime is the duration from which a write of claims is logged as delayed.
const slowWriteTime = time.Second

// writeDelay logs a write of claims that takes longer than slowWriteTime.
type writeDelay struct {
	log       *slog.Logger
	shard     claim.ShardID
	ops       int
	began     time.Time
	conflicts int
	reported  bool
}

// conflict counts a write conflict.
func (d *writeDelay) conflict() {
	d.conflicts++
	d.check()
}

// check logs a warning once the write has taken slowWriteTime.
func (d *writeDelay) check() {
	if d.reported || time.Since(d.began) < slowWriteTime {
		return
	}
	d.reported = true
	d.log.Warn("claim write delayed", d.attrs()...)
}

// end logs the end of a delayed write.
func (d *writeDelay) end() {
	if d.reported {
		d.log.Warn("delayed claim write ended", d.attrs()...)
	}
}

func (d *writeDelay) attrs() []any {
	return []any{
		"shard", d.shard.ObjectKey(),
		"operations", d.ops,
		"conflicts", d.conflicts,
		"ms", time.Since(d.began).Milliseconds(),
	}
}
