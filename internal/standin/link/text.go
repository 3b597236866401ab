package link

import (
	"fmt"
	"slices"
	"strings"
)

// allAddresses stands for all addresses in the text of a cut.
const allAddresses = "all"

// FormatCut returns the text of a cut to the given addresses, or to all if there are none.
func FormatCut(mode Mode, addrs []string) string {
	if len(addrs) == 0 {
		return mode.String() + " " + allAddresses
	}
	return mode.String() + " " + strings.Join(addrs, ",")
}

// ParseCut parses the text of a cut for Cut. For an empty text, which stands for no cut, affects is nil.
func ParseCut(text string) (mode Mode, affects func(addr string) bool, err error) {
	name, list, _ := strings.Cut(strings.TrimSpace(text), " ")
	if name == "" {
		return 0, nil, nil
	}
	for _, m := range AllModes() {
		if m.String() != name {
			continue
		}
		if list == allAddresses {
			return m, All, nil
		}
		addrs := strings.Split(list, ",")
		return m, func(addr string) bool { return slices.Contains(addrs, addr) }, nil
	}
	return 0, nil, fmt.Errorf("link: unknown mode %q", name)
}
