// Package peer provides the messages between instances, and a Mesh that sends and receives
// them over TCP connections.
//
// A message is sent as a frame: the length of the rest of the frame in four bytes (big
// endian), the kind of the message in one byte, and the message in msgpack. A connection
// carries frames in one direction only, from the instance that opened it. Its first frame
// is a Hello, which contains the sender's name and the secret that all instances share. A
// connection is closed if a frame is too long, malformed or of an unknown kind, or if the
// first frame is not a valid Hello. Other connections are not affected.
//
// The peer address also accepts HTTP connections, for requests that an instance hands over to
// another one. Requests returns the listener for them.
//
// Sending never blocks. Frames for a peer that does not read are dropped, just as the
// network may lose them.
package peer
