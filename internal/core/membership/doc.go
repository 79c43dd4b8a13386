// Package membership tells which instances are live. Inside an availability
// zone the instances probe each other in the manner of SWIM: direct probes,
// indirect probes through other members, suspicion that the suspect can refute
// with a higher incarnation, and updates that ride on the probes. Across zones
// a few link instances per pair of zones compare digests and fetch what
// differs.
//
// # Usage
//
// A Core has no I/O, no clock and no goroutine, and must be driven by one
// goroutine at a time:
//
//   - Step for each message received. From must be the authenticated id of the
//     process at the other end, never the id that the connection was opened for.
//   - ProbeFailed when an exchange with a peer made no progress or its
//     connection died. It hastens the next probe and proves nothing by itself.
//   - Platform for each list read from the platform. The list lags, so it only
//     says whom to probe.
//   - Tick every 100 ms or so.
//   - Ready after any of these: send its messages, and read View if it says
//     that something changed.
//
// Messages may be lost, delayed, repeated and reordered. An empty address in an
// Outgoing means that the instance is known by an open connection only.
//
// # What the view means
//
// The view of the own zone is what this instance and its peers in reach have
// probed. Rows of another zone are what that zone says of itself; when no link
// reaches it, they stay and the zone is marked unreachable. A live instance
// can be believed dead for a while, and a dead one live: nothing that must
// hold at any moment may rest on the view alone.
package membership
