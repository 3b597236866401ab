// Package forward sends a request to a target over HTTP/1.1 and reads the response, over
// connections that it keeps open for later requests.
//
// It distinguishes three things that the client of net/http does not: whether any byte of
// the request may have been sent, whether a response belongs to the request, and whether a
// response is complete. Targets send surplus and late responses, so a response is matched
// to its request by the request ID, and a connection carries no ID twice: a response to an
// earlier send can never count for a later one. A response is read completely before it is
// returned, so that a truncated one never looks complete to the client.
//
// An incarnation is one lifetime of a target, from a start to the next. A target reports
// its load in response headers, and may report there that it is leaving, that it requests a
// back-off, or that it limits its rate (a self-report, see package availability). A spare
// connection is one that is opened to a distant target before a request needs it.
package forward
