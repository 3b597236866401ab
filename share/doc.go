// Package share divides a cap over many holders without a coordinator, and
// lets each holder use its units exactly.
//
// A cap allows at most N requests of a row in any sliding window. Split is a
// pure function that divides N into whole units, such that the shares always
// add up to N. A unit may be used at most once in any window. As long as each
// unit has a single holder at a time, no window contains more than N uses. A
// Limiter enforces the limit of one holder for one row. A Ledger holds the
// limiters of all rows of an instance.
//
// A loan passes idle units to another holder for a limited time. The end of
// the loan is set such that lost, delayed and duplicated messages and crashes
// of either side can only waste units, but never create any:
//
//   - The lender lends only units that it has not used within the last window.
//     For the lender, the loan starts when it sends the loan.
//   - For the borrower, the loan starts when it sent the loan request. The
//     borrower stops using the units one window before the loan ends.
//
// A Ramp limits how fast the use of a row may grow.
package share
