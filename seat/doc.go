// Package seat assigns the seats of a hall to its instances, and lets each
// instance use its seats under a lease.
//
// A seat is one of a fixed number of partitions (Count) of a hall. Each seat
// stands for a share of the hall's units of every cap. The roster records the
// members of the hall, which are the instances that may hold seats, and the
// holder of each seat. It is a single object in the platform, the external
// store, and is changed only by conditional writes.
//
// A holder uses its seats under a lease. One member, the writer, renews the
// leases of all members with a single write of the roster, based on their
// heartbeats. The number of writes to the platform therefore grows with the
// number of halls, and not with the number of instances.
//
// A lease runs on the holder's own clock. It starts when the holder sent the
// heartbeat that a renewal refers to, not when the holder learned of the
// renewal. There are two kinds of leases, and either one is sufficient:
//
//   - The platform lease lasts for Timing.PlatformLease after the heartbeat
//     that the roster records as the member's renewal.
//   - The peer lease lasts for Timing.PeerLease after an earlier heartbeat of
//     the member. Each other member of the roster echoes the latest heartbeat
//     that it has received, and the lease starts with the oldest of these. It
//     takes effect while the platform is unavailable, for at most
//     Timing.MaxOffline.
//
// A member takes over another's seats only when both leases must be over on
// the other's clock. It must have seen the renewal unchanged for longer than
// PlatformLease, and must not have received a heartbeat from the other for
// longer than PeerLease. The second condition is valid only if the other knew
// that it depends on echoes of the member that takes over. This is the case if
// it has acknowledged a roster epoch in which that member was included. The
// epoch is increased by each change of the members. If the acknowledgement is
// missing, the member also waits for MaxOffline, unless it listens on the
// other's address. In that case, the other's process must have ended.
//
// A holder with more than its fair share of seats releases some: it stops using
// them, waits until its uses and loans of their units have ended, and only then
// announces the release.
//
// The rules and the losses in each case are described in docs/DESIGN.md.
package seat
