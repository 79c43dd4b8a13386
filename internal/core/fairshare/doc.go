// Package fairshare decides in which order organisations that compete for the same slots get them.
//
// # Problem
//
// In the order of arrival, who sends twenty times as much gets twenty times as much, and all others
// wait behind it. Shares answers a load that asks for more than there is, most of it from few of
// many organisations, with requests of very different sizes.
//
// # Terms
//
//   - Service is the time for which requests occupy slots.
//   - The level of an organisation is the service that it has received, divided by its weight
//     relative to the mean weight of those that wait.
//   - The floor is the highest level at which an organisation was granted a slot. Levels that lag
//     behind it by more than catchUp count as lagging by catchUp, so that an organisation that has
//     been idle can't hold up the others for longer.
//
// # Contract
//
//   - The lowest level is next. Among organisations that wait all the time, levels differ by no more
//     than the service of one request and catchUp. No slot stays idle while a request waits.
//   - Only service that was received counts: requests that are refused or withdrawn cost nothing.
//   - Memory is bounded by maxAccounts; the cost of an order depends on what waits, not on the number
//     of organisations.
//
// Shares has no clock and draws no random numbers. It isn't safe for concurrent use.
package fairshare
