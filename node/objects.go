package node

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/rainford/rainford/objectstore"
)

// objects holds the newest version known of each object of the platform that
// the instance uses.
type objects struct {
	byKey map[string]objectstore.Object
}

func newObjects() *objects {
	return &objects{byKey: make(map[string]objectstore.Object)}
}

// update takes obj in if it is newer than what is held, and reports whether it
// is.
func (o *objects) update(obj objectstore.Object) bool {
	if have, ok := o.byKey[obj.Key]; ok && obj.Version <= have.Version {
		return false
	}
	o.byKey[obj.Key] = obj
	return true
}

// version returns the version held of key, or 0.
func (o *objects) version(key string) int64 { return o.byKey[key].Version }

// withPrefix returns the objects whose keys start with prefix, less deleted ones.
func (o *objects) withPrefix(prefix string) []objectstore.Object {
	var out []objectstore.Object
	for key, obj := range o.byKey {
		if strings.HasPrefix(key, prefix) && !obj.Deleted {
			out = append(out, obj)
		}
	}
	return out
}

// decodeInto reads the value of obj into out.
func decodeInto(obj objectstore.Object, out any) error {
	err := json.Unmarshal(obj.Value, out)
	if err != nil {
		return fmt.Errorf("node: decode %s: %w", obj.Key, err)
	}
	return nil
}
