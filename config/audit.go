package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sort"

	"github.com/rainford/rainford/objectstore"
)

// AuditPrefix is the prefix of the audit pages' object keys.
const AuditPrefix = "audit/"

// changesPerPage is the number of consecutive change numbers that share an audit page. A change
// of a table of the maximum size has about 0.7 MB. Large changes therefore get pages of their own,
// see pageKey.
const changesPerPage = 20

// auditPage is a stored object that holds archived changes.
type auditPage struct {
	Changes []Change `json:"changes"`
}

// pageKey returns the object key of the audit page for a change whose encoding has size bytes. A
// change larger than largeChangeBytes gets a page of its own.
func pageKey(c Change, size int) string {
	if size > largeChangeBytes {
		return fmt.Sprintf("%s%010d-large", AuditPrefix, c.Number)
	}
	return fmt.Sprintf("%s%010d", AuditPrefix, c.Number/changesPerPage*changesPerPage)
}

// largeChangeBytes is the maximum size of a change on a shared page. It keeps these pages below the
// platform's size limit of values.
const largeChangeBytes = 40 << 10

// archive copies changes to the audit pages. It is idempotent.
func archive(ctx context.Context, store Store, changes []Change) error {
	for _, c := range changes {
		err := archiveChange(ctx, store, c)
		if err != nil {
			return fmt.Errorf("config: archive change %d: %w", c.Number, err)
		}
	}
	return nil
}

// archiveChange copies a change to its audit page, unless the page contains it already. It retries
// after conflicts and uncertain writes, with at most maxAttempts attempts.
func archiveChange(ctx context.Context, store Store, c Change) error {
	raw, err := json.Marshal(c)
	if err != nil {
		return err
	}
	key := pageKey(c, len(raw))
	for range maxAttempts {
		obj, err := store.Get(ctx, key)
		if errors.Is(err, objectstore.ErrNotFound) {
			obj = objectstore.Object{}
		} else if err != nil {
			return err
		}
		p, err := decodeAuditPage(obj.Value)
		if err != nil {
			return err
		}
		if p.contains(c.Number) {
			return nil
		}
		p.Changes = append(p.Changes, c)
		_, err = store.Put(ctx, key, obj.Version, p)
		if err == nil {
			return nil
		}
		var conflict *objectstore.ConflictError
		if !errors.As(err, &conflict) && !errors.Is(err, objectstore.ErrUncertain) {
			return err
		}
	}
	return errors.New("too many conflicts")
}

func decodeAuditPage(raw []byte) (*auditPage, error) {
	p := &auditPage{}
	if len(raw) == 0 {
		return p, nil
	}
	err := json.Unmarshal(raw, p)
	if err != nil {
		return nil, fmt.Errorf("config: decode audit page: %w", err)
	}
	return p, nil
}

// contains reports whether the page contains the change with the given number.
func (p *auditPage) contains(number int64) bool {
	for _, c := range p.Changes {
		if c.Number == number {
			return true
		}
	}
	return false
}

// AuditStore provides the operations of the platform's store that AuditTrail needs.
type AuditStore interface {
	Get(ctx context.Context, key string) (objectstore.Object, error)
	List(ctx context.Context, prefix string) (objectstore.Listing, error)
}

// AuditTrail returns all accepted changes, oldest first, from the audit pages and the document.
func AuditTrail(ctx context.Context, store AuditStore) ([]Change, error) {
	byNumber := make(map[int64]Change)
	listing, err := store.List(ctx, AuditPrefix)
	if err != nil {
		return nil, err
	}
	for _, obj := range listing.Objects {
		p, err := decodeAuditPage(obj.Value)
		if err != nil {
			return nil, err
		}
		for _, c := range p.Changes {
			byNumber[c.Number] = c
		}
	}
	obj, err := store.Get(ctx, Key)
	if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
		return nil, err
	}
	doc, err := Decode(obj.Value)
	if err != nil {
		return nil, err
	}
	for _, c := range doc.Recent {
		byNumber[c.Number] = c
	}
	out := make([]Change, 0, len(byNumber))
	for _, c := range byNumber {
		out = append(out, c)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Number < out[j].Number })
	return out, nil
}
