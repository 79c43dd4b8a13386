// Package lease lets one instance at a time hold a named lease, whose records are
// stored in the log.
//
// # Acquisition and renewal
//
// The records of a lease are in one stream. An acquisition names its basis, the
// offset up to which its sender had read the stream. It is valid if there is no
// record of the same lease between its basis and itself. So among concurrent
// acquisitions the first in log order wins, and every reader that has read the
// stream from the basis on agrees. The offset of the acquisition is the fencing
// number. The holder's renewals name the fencing number. A renewal counts for the
// holder only once it was read back with no other acquisition before it.
//
// # Expiry
//
// Expiry is a duration, so clocks need not agree. The holder measures the term
// from before it sent the latest record that it has read back, and shortens it by
// the maximum drift of its clock and a margin. All others measure it from when
// they read the last record of the lease, of any kind, and lengthen it by the
// same. A holder whose lease expired may renew it, provided that nobody has
// acquired it in between.
//
// # Using a Lease
//
// A Lease does no I/O and has no clock. Step it with Campaign, Resign,
// HandleAppendResult, ApplyRecords, ReadFailed and Tick, then call Ready and
// perform the append and the read that it returns, as with package claim. An order
// is an instruction that the holder sends to an endpoint. Call MaySendOrder right
// before sending each order and send the fencing number that it returns along.
// Each order must end within Settings.MaxOrderDuration. Before calling Resign, wait
// for the orders in flight to end.
//
// The clock that the caller uses must advance while the process is suspended. The
// log's retention must be many times the longest term.
//
// A process that is suspended between MaySendOrder and the system call that sends
// the order sends it late. An endpoint that checks fencing numbers refuses the order
// then. For one that doesn't, the only protection is the order's own expiry, and
// the new holder's later check of what the endpoint reports.
package lease
