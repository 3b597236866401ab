// Package locality decides which region runs a request.
//
// A region's share of the requests that enter in another (or the same) region is
// computed from the slots that each region has for the service: a region keeps
// what its slots carry of an equal demand, and the rest goes to the regions that
// have slots to spare. Operators' rows, where there are any, take the place of
// the computed shares. The region of a request is drawn by the hash of its key,
// so that an object stays in one region and all instances agree.
//
// Few keys lie unevenly among the hashes, so the shares of the hashes are fitted to the
// keys that were seen: see Calibrate. Shares move by bounded steps: see Mover.
package locality
