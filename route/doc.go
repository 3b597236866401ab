// Package route chooses the destination region of a request, among the rows of the operators'
// table for its service and the region in which it arrived.
//
// The first destination is drawn at random by weight. The other rows follow in an order that is
// drawn by weight as well, for the case that the first destination can't serve the request. A
// row gets requests only within its cap, whether by weight, by overflow from other rows or after
// the loss of a region.
//
// Within a destination, Pick chooses the instance. A LatencyTracker tells warm destinations,
// which respond about as fast as usual, from cold ones.
package route
