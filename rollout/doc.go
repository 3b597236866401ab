// Package rollout shifts the requests of a service to a new version in stages. It decides what
// share of the requests the targets of the new version get, whether the version is good or bad, and
// when the rollout is complete. The package performs no I/O: time, observations and messages are
// passed in as arguments.
//
// An order asks for the requests of a service to be shifted to the targets of a version within a
// given duration. The targets of that version are the new targets, all others of the service are
// the old targets.
//
// A stage states which instances send which requests to which of the new targets. One instance, the
// leader, chooses the stages by means of the reports of the other instances and announces them. A
// stage expires shortly after its last announcement, so that instances without a leader return to
// the old targets.
//
// In the canary stages a small share of the requests goes to a few new targets. In the moving
// stages a growing share goes to all new targets. Canary analysis compares the failures and
// latencies of the new targets with those of the old ones.
//
// The verdict, succeeded or rolled back, ends the rollout. It is written once, to the order in the
// store, and never changes.
package rollout
