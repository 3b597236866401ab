// Package route provides the choice of the region for a request, among the
// rows of the table for its service and the region it entered in.
//
// The first choice is drawn by weight. The other rows follow, drawn by weight
// as well, for the case that the first can't take the request: a row only ever
// gets what the table permits, whether by weight, by overflow or after the loss
// of a region.
package route
