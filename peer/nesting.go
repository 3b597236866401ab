package peer

import (
	"encoding/binary"

	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxNesting is the deepest nesting of arrays and maps in a message. The decoder skips fields that it
// does not know by recursion, which deeper values could use to exhaust the memory.
const maxNesting = 64

// isNestedTooDeeply reports whether a value in msgpack is nested more than maxNesting levels deep. It
// does not check whether the value is well-formed.
func isNestedTooDeeply(raw []byte) bool {
	// open holds the numbers of values that are missing in the arrays and maps that are open.
	var open [maxNesting]int
	depth := 0
	for len(raw) > 0 {
		values, size := valueHead(raw)
		if size > len(raw) {
			return false
		}
		raw = raw[size:]
		if values > 0 {
			if depth == maxNesting {
				return true
			}
			open[depth] = values
			depth++
			continue
		}
		for depth > 0 {
			open[depth-1]--
			if open[depth-1] > 0 {
				break
			}
			depth--
		}
	}
	return false
}

// valueHead returns the number of values in the array or map that raw begins with, 0 if it begins with
// another value, and the size in bytes of the head of an array or map or of the whole other value.
func valueHead(raw []byte) (values, size int) {
	code := raw[0]
	switch {
	case msgpcode.IsFixedMap(code):
		return 2 * int(code&msgpcode.FixedMapMask), 1
	case msgpcode.IsFixedArray(code):
		return int(code & msgpcode.FixedArrayMask), 1
	case msgpcode.IsFixedString(code):
		return 0, 1 + int(code&msgpcode.FixedStrMask)
	}
	switch code {
	case msgpcode.Map16:
		return 2 * length(raw, 2), 3
	case msgpcode.Map32:
		return 2 * length(raw, 4), 5
	case msgpcode.Array16:
		return length(raw, 2), 3
	case msgpcode.Array32:
		return length(raw, 4), 5
	case msgpcode.Str8, msgpcode.Bin8:
		return 0, 2 + length(raw, 1)
	case msgpcode.Str16, msgpcode.Bin16:
		return 0, 3 + length(raw, 2)
	case msgpcode.Str32, msgpcode.Bin32:
		return 0, 5 + length(raw, 4)
	case msgpcode.Ext8:
		return 0, 3 + length(raw, 1)
	case msgpcode.Ext16:
		return 0, 4 + length(raw, 2)
	case msgpcode.Ext32:
		return 0, 6 + length(raw, 4)
	default:
		return 0, scalarSize(code)
	}
}

// length returns the length in bytes 1 to size of a head, or 0 if they are missing.
func length(raw []byte, size int) int {
	if len(raw) <= size {
		return 0
	}
	var buf [4]byte
	copy(buf[len(buf)-size:], raw[1:1+size])
	return int(binary.BigEndian.Uint32(buf[:]))
}

// scalarSize returns the size in bytes of a value that its code determines.
func scalarSize(code byte) int {
	switch code {
	case msgpcode.Uint8, msgpcode.Int8:
		return 2
	case msgpcode.Uint16, msgpcode.Int16, msgpcode.FixExt1:
		return 3
	case msgpcode.FixExt2:
		return 4
	case msgpcode.Uint32, msgpcode.Int32, msgpcode.Float:
		return 5
	case msgpcode.FixExt4:
		return 6
	case msgpcode.Uint64, msgpcode.Int64, msgpcode.Double:
		return 9
	case msgpcode.FixExt8:
		return 10
	case msgpcode.FixExt16:
		return 18
	default:
		return 1
	}
}
