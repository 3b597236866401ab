// Package pipelining has an http.Server run requests that a client sends behind one another on
// one connection side by side, and answer them in their order.
//
// The server of net/http runs one request of a connection at a time, and notices that a client
// has left only if nothing lies unread before the end of its connection. A Listener stands
// between the two. It reads on while a request runs. Each whole head that comes meanwhile and
// belongs to a plain request becomes a connection of its own to the server, a lane, whose answer
// is held back until its turn has come. All else, such as a request with a body or one that can't
// be parsed, waits until what is ahead of it has been answered, and is then served as if it had
// just come; what is behind it waits for it.
//
// Terms: a plain request has the method GET or HEAD, no body, and nothing in its head that
// concerns the connection. A turn is the place of a request among those of its connection that
// have not been answered yet. A request may be repeated if running it twice does no harm; only
// such requests run beside others, and a Handler tells by calling Start.
package pipelining
