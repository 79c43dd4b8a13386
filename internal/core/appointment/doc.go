// Package appointment decides when callers that were refused for want of room may come back, and
// recognises them when they do.
//
// # Problem
//
// Callers that are all told to come back after the same time come back into the queue that refused
// them. Book gives out the room that is expected to be free, in the order of the refusals. It answers
// a load of more than a pool serves, for longer than requests may wait.
//
// # Terms
//
//   - An appointment is a moment at which the request with a key is expected back.
//   - The pace of a rank is how long it takes until there is room for one more request of the rank.
//
// # Contract
//
//   - Appointments of a rank are one pace apart at least, in the order in which they are made, and
//     none is later than its caller can come back.
//   - A key has one appointment at a time. One that is not kept ends by itself; nothing waits for it.
//   - Memory is bounded by maxAppointments. Beyond it, none are made.
//
// A Book has no clock and draws no random numbers. It isn't safe for concurrent use.
package appointment
