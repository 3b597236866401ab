// Package entry handles requests at an entry instance, over net/http. A request passes through
// a pipeline of filters:
//
//	log -> deadline -> classify -> claim -> region -> cap -> target -> dispatch
//
// A filter receives an Exchange, which holds the request and its state, and calls the next
// stage. The decisions are made by the packages route, share, balance, claim and retry. Package
// entry applies them to connections.
//
// A caller is a client process that sends requests. A request of a caller is sent to a target
// of this instance's own hall or, through one hop, to another instance, which sends it to a
// target of its own hall. A request that another instance forwarded is sent to a target of the
// own hall or refused; it is never forwarded again.
//
// Request and response bodies are streamed. If the response of a target or instance breaks off,
// the connection to the caller is closed, so that the caller cannot mistake a part of the
// response for the whole.
package entry
