// Package origin provides a stand-in for a target, with the platform's own HTTP headers, for tests and
// demonstrations.
//
// A Server is one incarnation of a target, that is, one run of its process. It answers 421 to a request whose
// header Expected-Instance names another incarnation. Responses to executed requests carry the server's
// signature (Server-Signature) and load (Server-Load). A refusal with the header Not-Executed states that the
// request was not run.
//
// A Fault makes the server misbehave for one request, as real targets do: with surplus, delayed, truncated or
// malformed responses, without a response, or with a crash. The server records the requests that it has run.
package origin
