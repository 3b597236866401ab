//go:build review

package harness

import (
	"encoding/json"
	"fmt"
	"os"
	"regexp"
	"sort"
	"strings"
)

// roleCommand returns the words of a role's command in the deploy file.
func roleCommand(root, role string) ([]string, error) {
	raw, err := os.ReadFile(root + "/deploy/system.toml")
	if err != nil {
		return nil, err
	}
	section := regexp.MustCompile(`(?s)\[roles\.` + role + `\](.*?)(?:\n\[|$)`).FindSubmatch(raw)
	if section == nil {
		return nil, fmt.Errorf("deploy file has no role %s", role)
	}
	run := regexp.MustCompile(`(?m)^run = "(.*)"`).FindSubmatch(section[1])
	if run == nil {
		return nil, fmt.Errorf("role %s has no command", role)
	}
	return strings.Fields(string(run[1])), nil
}

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/([\w.]+)\}\}`)
	gapPattern     = regexp.MustCompile(`\{\{([\w.@]+)\}\}`)
)

// fill fills the gaps of a template of settings as the deploy page describes, as far as the templates of this
// project need it.
func fill(template string, fields map[string]any) string {
	text := sectionPattern.ReplaceAllStringFunc(template, func(section string) string {
		parts := sectionPattern.FindStringSubmatch(section)
		value, ok := find(fields, parts[1])
		if !ok {
			return ""
		}
		table, isTable := value.(map[string]string)
		if !isTable {
			return parts[2]
		}
		var keys []string
		for key := range table {
			keys = append(keys, key)
		}
		sort.Strings(keys)
		var out []string
		for i, key := range keys {
			entry := strings.ReplaceAll(strings.ReplaceAll(parts[2], "{{@}}", key), "{{.}}", table[key])
			comma := ","
			if i == len(keys)-1 {
				comma = ""
			}
			out = append(out, strings.ReplaceAll(entry, "{{,}}", comma))
		}
		return strings.Join(out, "")
	})
	return gapPattern.ReplaceAllStringFunc(text, func(gap string) string {
		value, ok := find(fields, gapPattern.FindStringSubmatch(gap)[1])
		if !ok {
			return ""
		}
		switch v := value.(type) {
		case string:
			return v
		case []string:
			return strings.Join(v, ",")
		default:
			raw, _ := json.Marshal(v)
			return string(raw)
		}
	})
}

// find returns the value at a path such as "a.b" or "a.0".
func find(fields map[string]any, path string) (any, bool) {
	var value any = fields
	for _, name := range strings.Split(path, ".") {
		var ok bool
		switch v := value.(type) {
		case map[string]any:
			value, ok = v[name]
		case map[string]string:
			value, ok = v[name]
		case []int:
			var i int
			_, err := fmt.Sscan(name, &i)
			if ok = err == nil && i < len(v); ok {
				value = v[i]
			}
		}
		if !ok {
			return nil, false
		}
	}
	return value, true
}
