// Package lookup provides the answer to a caller's question which entry
// instances to use.
//
// The caller's address decides its home hall: the longest prefix in the table
// of blocks. The answer lists the instances of the home hall first, then those
// of its region, then the others, with the time that callers may keep it.
// Within a group the order is turned by the caller's address, which spreads
// the callers of a hall over its instances. Suspected instances come last and
// leaving ones are not listed.
//
// A Directory is immutable and holds the answers as encoded, so that a look-up
// is one search of the prefix table and one choice among prepared bytes.
package lookup
