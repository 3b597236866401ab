// Package peer provides the messages between instances: msgpack values in
// frames on TCP connections.
//
// A frame is a length of four bytes (big endian, of what follows), a kind of
// one byte and a msgpack body. A connection carries frames one way only, from
// the instance that opened it, and starts with a Hello that names the sender
// and holds the secret that all instances share. A frame that is too long,
// malformed or of an unknown kind, or a first frame that is no valid Hello,
// closes that connection and nothing else.
//
// Sending never blocks: frames for a peer that does not read are dropped, as
// the network may drop them.
package peer
