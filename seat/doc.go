// Package seat provides the lasting division of a hall's units over its
// instances.
//
// A hall's part of every cap is divided over a fixed number of seats (Count).
// Who holds which seat is one object in the platform, the roster, changed only
// by conditional writes. A holder uses its seats under a lease; one write of
// the roster's keeper renews all members at once, with their heartbeats as
// evidence, so the platform's writes grow with halls and not with instances.
//
// A lease runs on the holder's own clock. It starts when the holder sent the
// heartbeat that a renewal names, not when it heard of the renewal. There are
// two kinds, and either is enough:
//
//   - the platform lease: Timing.Lease after the heartbeat that the roster
//     names as the member's renewal;
//   - the peer lease: Timing.Grant after the oldest of the member's heartbeats
//     that every other member of the roster has echoed last. It serves while
//     the platform is away, for at most Timing.Offline.
//
// A member takes another's seats only when both must be over on the other's
// clock: it has seen the renewal unchanged for longer than Lease and has not
// heard the other for longer than Grant. The second counts only if the other
// knew that it must have the taker's echoes: it has acknowledged a roster
// epoch at which the taker was a member. Where that can't be shown the taker
// waits until Offline is over too, unless it listens on the other's address
// itself, which shows that the other's process has ended.
//
// A holder with more than its part gives seats back: it stops using them,
// waits until its uses and loans have ended, and only then says so.
//
// The rules and what is lost in each case stand in docs/DESIGN.md.
package seat
