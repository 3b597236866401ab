// Package share provides the division of a cap over many holders and its exact
// use by each of them, without a coordinator.
//
// A cap is N requests in any sliding window. Split divides N in whole units by
// a pure function, so that the parts always add up to N. A unit may be used at
// most once in any window; as long as every unit has one holder at a time, no
// window holds more than N uses. Meter keeps one holder's units of one row.
//
// A loan passes idle units to another holder for a while. Its end is set so
// that loss, delay and duplication of messages, and the death of either side,
// only waste units and never create any:
//
//   - the lender lends only units that it has not used within the last window,
//     and counts the loan from when it sends it;
//   - the borrower counts the loan from when it asked for it, and stops one
//     window before its end.
//
// Ramp bounds how fast the use of a row may grow.
package share
