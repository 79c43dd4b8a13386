// Package lease lets one instance at a time hold a named lease that is kept
// on the log.
//
// # The rule
//
// Records of a lease stand in one stream. An acquisition names its basis, the
// offset up to which its sender had read the stream. It is valid if no record
// of the same lease stands between its basis and itself; so of several that
// race, the first in log order wins, and every reader that has read from the
// basis on agrees. The offset of the acquisition is the fencing number. The
// holder renews by naming its fencing number; a renewal counts for the holder
// only once it was read back with no acquisition before it.
//
// # Expiry
//
// Expiry is a duration, so no two clocks need to agree. The holder counts from
// before it sent what it has read back, shortened by the bound of its clock's
// rate and a margin. Everyone else counts from when it read the last record of
// the lease, of whatever kind, lengthened by the same. A holder that lost its
// lease by time may renew it as long as no one acquired it in between.
//
// # Using a Lease
//
// A Lease does no I/O and has no clock. Step it with Want, Resign,
// AppendResult, Fold, ReadFailed and Tick, then call Ready and serve what it
// asks for, as with package claim. Call MayWrite at the last moment before
// each order and send the order with the fencing number that it returns; end
// every order within Settings.LongestOrder. Before Resign, let the orders that
// are under way end.
//
// The time that is passed in must go on while the process is stopped. The
// log's retention must be many times the longest term.
//
// A process that is paused between MayWrite and the system call that sends the
// order sends it late. An endpoint that checks fencing numbers refuses it then;
// for one that doesn't, the order's own expiry is the only protection, and the
// new holder's later check of what the endpoint reports.
package lease
