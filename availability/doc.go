// Package availability tells whether a target may be sent requests, and why not.
//
// A target's word is what it says of itself in an answer, beside the answer: that it leaves,
// or that it wants to rest.
package availability
