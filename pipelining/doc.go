// Package pipelining lets an http.Server run pipelined requests concurrently and respond to
// them in order. Pipelined requests are requests that a client sends on one connection
// without waiting for the responses to earlier ones (RFC 9112, section 9.3.2).
//
// The server of net/http runs one request of a connection at a time. It notices that a
// client has disconnected only if no unread bytes precede the end of the connection. A
// Listener sits between the clients and the server, and continues to read while a request
// runs. If a complete head arrives in that time and belongs to a plain request, the
// Listener passes it to the server as a connection of its own, a virtual connection, and
// buffers the response until those to all earlier requests are written. Anything else, such
// as a request with a body or one that can't be parsed, waits until all earlier requests
// are answered, and is then served as if it had just arrived. Everything behind it waits
// too.
//
// A plain request has the method GET or HEAD, no body, and no header that concerns the
// connection except Connection: keep-alive. The response queue of a connection contains
// its unanswered requests, in request order. Only idempotent requests run concurrently. A
// Handler says whether its request is idempotent by calling AwaitStart.
package pipelining
