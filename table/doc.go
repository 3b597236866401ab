// Package table provides the operators' table: the regions with their halls, the services, the
// rows of weights and caps, and the drains.
//
// A row is identified by its service, its origin region (from) and its destination region (to).
// The origin is the region of the instance that receives a request from a client. The
// destination is the region whose targets run the request. A row has these values:
//
//   - weight: the row's share of the requests, relative to the other rows of the same service
//     and origin. A row of weight 0 gets no requests.
//   - cap: the maximum number of requests on the row in any sliding window of one second
//     (CapWindow), over all instances. An empty cap means no limit, which is allowed only if
//     origin and destination are the same region.
//   - shift and ramp: the slow start of the row. The permitted rate starts at shift percent of
//     the cap and may rise by shift percent of the cap once per ramp, and only while it is used.
//     A shift of 100 permits the whole cap at once.
//
// A table is read from and written to CSV. Check reports all faults of a table together, Diff
// compares two tables cell by cell, and Merge merges the changes of two operators. Compile turns
// a table into a Plan, which routing uses.
package table
