// Package placement decides which endpoint holds which models, versions and
// adapters.
//
// The plan is declarative: the Planner keeps an assignment of models to
// endpoints that follows demand, compares it with the endpoints' reports, and
// issues the orders that remove the differences. If an order is lost, or an
// endpoint loses what it had loaded, the next report shows the difference and
// the order is issued again.
//
// Guarantees:
//   - The last ready copy of a model is not unloaded while the model is in use
//     or has demand, and the number of ready copies is not brought below
//     MinCopies.
//   - A copy in use is drained before it is unloaded.
//   - A copy that was added for demand stays for at least ScaleDownDelay.
//   - Downloads start no faster than this planner's share of the weight store's
//     rate allows.
//   - Nothing is unloaded on the basis of a report older than ReportMaxAge.
//
// # Using a Planner
//
// A Planner does no I/O and has no clock. The holder of the zone's order lease
// steps it with SetModels, SetEndpoints, SetDemand, HandleReport and Tick, and
// carries out what Ready returns: it sends each Order with the fencing number
// that lease.MaySendOrder returns right before, and with an expiry of
// Settings.OrderTTL. A new lease holder starts with a new Planner, which adopts
// the endpoints' reports as their assignments.
package placement
