// Package rollout brings a new version of a service in step by step. It decides which share of the
// service's requests the targets of the new version get, whether that version is good or bad, and
// when the rollout is done. It is pure: time, observations and messages come in as arguments.
//
// Terms: an order asks for the requests of a service to be moved to the targets of a version within
// a time. The targets of that version are the new ones, all others of the service the old ones. A
// stage is what all instances do at a time: who sends which requests to which of the new targets.
// One instance, the leader, decides on the stages, by what the instances report, and tells them; a
// stage holds for a short time only, so that instances that hear of no leader go back to the old
// targets. In the canary stage a few requests go to a few new targets, in the moving stages more
// and more to all. The verdict, succeeded or rolled back, ends the rollout. It is written once, to
// the order in the store, and never changes.
package rollout
