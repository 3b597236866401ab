// Package httpconn provides the connections over which this module reads HTTP/1.1 responses, from targets, other
// instances and the platform. What must hold for each response, whoever reads it, is kept here.
//
// A stream is what the peer sends over a connection. The peer ends it on purpose, or the connection breaks. A body
// without a length ends with the stream, so that it is complete only in the first case. The kernel reports what broke
// a connection to a single call, a read or a write, and after that a read looks as if the stream had ended. A Conn
// remembers what broke it, and returns io.EOF only if the peer ended the stream.
//
// A head is the status line and the fields of a response, up to the blank line. A Conn passes on no complete head that
// is invalid or too long: see checkHead for what is valid.
package httpconn
