// Package lookup answers the look-ups of clients: which instances a client should send its requests
// to.
//
// The home hall of a client follows from its address, by the longest matching prefix in the table of
// address blocks. A Response lists the instances of the home hall first, then those of the other
// halls of its region, then those of other regions, and states how long the client may use it. Within
// a group, the order is rotated by a hash of the client's address, so that the clients of a hall are
// spread over its instances. Instances that are suspected to have failed or are not ready come last,
// and leaving instances are not listed.
//
// A Directory is immutable and holds encoded responses, so that a look-up takes one search of the
// prefix table and the choice of one of the prepared responses.
package lookup
