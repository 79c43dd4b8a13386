// Package membership determines which instances are live. Inside an
// availability zone the instances run a SWIM-style protocol: direct probes,
// indirect probes through other members, suspicion that the suspect can refute
// with a higher incarnation, and updates piggybacked on the probes. Between
// zones, a few link instances per pair of zones compare digests and fetch the
// rows that differ.
//
// # Usage
//
// A Core has no I/O, no clock and no goroutine, and must be driven by one
// goroutine at a time:
//
//   - Step for each message received. From must be the authenticated id of the
//     process at the other end, never the id that the connection was opened for.
//   - PeerFailed when an exchange with a peer made no progress or its
//     connection failed. It triggers an immediate probe; on its own it is no
//     evidence that the peer is dead.
//   - SetPlatformList for each instance list read from the platform. The list
//     lags behind, so it is used only to find instances to probe.
//   - Tick about every 100 ms.
//   - Ready after each of these calls: send its messages, and read View if
//     Changed is set.
//
// Messages may be lost, delayed, duplicated and reordered. An empty Address in
// an Outgoing means that the instance can be reached only over a connection
// that is already open.
//
// # Guarantees of the view
//
// The view of the local zone results from the probes of this instance and of
// the peers it can reach. Rows of a remote zone are those that the zone reports
// of itself; when no link reaches the zone, its rows are kept and the zone is
// marked unreachable. For some time a live instance may be shown as dead and a
// dead one as live, so no safety property may depend on the view alone.
package membership
