package node

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/rainford/rainford/objectstore"
)

// objects holds the newest known version of each stored object that the instance uses.
type objects struct {
	byKey map[string]objectstore.Object
}

func newObjects() *objects {
	return &objects{byKey: make(map[string]objectstore.Object)}
}

// update stores obj if it is newer than the version held, and reports whether it is.
func (o *objects) update(obj objectstore.Object) bool {
	if held, ok := o.byKey[obj.Key]; ok && obj.Version <= held.Version {
		return false
	}
	o.byKey[obj.Key] = obj
	return true
}

// version returns the version held of the object with the given key, or 0.
func (o *objects) version(key string) int64 { return o.byKey[key].Version }

// withPrefix returns the objects whose keys start with prefix, except deleted ones.
func (o *objects) withPrefix(prefix string) []objectstore.Object {
	var out []objectstore.Object
	for key, obj := range o.byKey {
		if strings.HasPrefix(key, prefix) && !obj.Deleted {
			out = append(out, obj)
		}
	}
	return out
}

// decodeInto decodes the JSON value of obj into out.
func decodeInto(obj objectstore.Object, out any) error {
	err := json.Unmarshal(obj.Value, out)
	if err != nil {
		return fmt.Errorf("node: decode %s: %w", obj.Key, err)
	}
	return nil
}
