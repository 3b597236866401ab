// Package table provides the operators' table: the regions, the services, the
// rows of weights and limits, and the drains.
//
// A row is keyed by service, from and to. "From" is the region of the entry
// instance that takes a request, "to" the region whose targets run it. A row
// says:
//
//   - weight: the row's part of the requests of (service, from), against the
//     other rows of the same service and from. 0 sends nothing.
//   - cap: the most requests in any sliding window of one second (Window) that
//     may flow on the row, over all instances. Empty is no cap, allowed only
//     where from and to are the same region.
//   - shift and ramp: the permitted flow starts at shift percent of the cap
//     and may rise by shift percent of the cap once per ramp, and only while
//     it is used. Shift 100 permits the whole cap at once.
//
// A table is read from and written as CSV, checked as a whole with all
// findings reported together, compared cell by cell, and merged with another
// operator's edits; Compile turns it into the form that routing uses.
package table
