// Package locality decides which region runs a request.
//
// The shares of the regions for the requests that enter in one region are computed from the slots
// that each region has for the service. Demand is assumed to be equal in all regions. A region
// keeps the requests that its slots can run, and the rest goes to regions with slots to spare.
// Operators' routing rows, if there are any, replace the computed shares. The region of a request
// is drawn by the hash of its key, so that an object stays in one region and all instances of a
// region agree.
//
// A small number of keys is distributed unevenly over the hash space. Calibrate therefore fits the
// shares of the hash space to the observed keys. A Ramp limits how fast shares change.
package locality
