package lookup

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sort"

	"github.com/rainford/rainford/objectstore"
)

// BlockStore provides the operations of the platform's store that StoreBlocks needs.
type BlockStore interface {
	List(ctx context.Context, prefix string) (objectstore.Listing, error)
	Put(ctx context.Context, key string, version int64, value any) (objectstore.Object, error)
	Delete(ctx context.Context, key string, version int64) error
}

// StoreBlocks replaces the stored table of blocks. It writes only the shards that differ from the
// stored ones, and deletes those that are no longer needed. After an error it continues with the
// other shards and returns all errors together.
func StoreBlocks(ctx context.Context, w BlockStore, blocks []Block) error {
	want := make(map[string][]Block)
	for _, b := range blocks {
		key := ShardKey(b.Prefix)
		want[key] = append(want[key], b)
	}
	listing, err := w.List(ctx, BlockKeyPrefix)
	if err != nil {
		return err
	}
	have := make(map[string]objectstore.Object)
	for _, obj := range listing.Objects {
		have[obj.Key] = obj
	}
	var errs []error
	for key, list := range want {
		errs = append(errs, storeShard(ctx, w, key, have[key], list))
	}
	for key, obj := range have {
		if want[key] == nil {
			errs = append(errs, w.Delete(ctx, key, obj.Version))
		}
	}
	return errors.Join(errs...)
}

// storeShard writes the shard with the given key, unless have, the stored object, is the same.
func storeShard(ctx context.Context, w BlockStore, key string, have objectstore.Object, blocks []Block) error {
	sort.Slice(blocks, func(i, j int) bool { return blocks[i].Prefix.String() < blocks[j].Prefix.String() })
	shard := BlockShard{Blocks: blocks}
	raw, err := json.Marshal(shard)
	if err != nil {
		return fmt.Errorf("lookup: encode %s: %w", key, err)
	}
	if string(raw) == string(have.Value) {
		return nil
	}
	_, err = w.Put(ctx, key, have.Version, shard)
	return err
}
