// Package placement decides which endpoint holds which models, versions and
// adapters.
//
// The plan is declarative: the Planner keeps an assignment of models to
// endpoints that follows demand, compares it with what the endpoints report,
// and hands out the orders that bring the two together. An order that was
// lost, or that an endpoint undid, shows in the next report and is given again.
//
// Promises: a model's last ready copy is not dropped while the model is in use
// or has demand, nor are its ready copies brought below MinCopies; a copy in
// use is drained before it goes; a copy added for demand stays at least
// MinDwell; downloads start no faster than the share of the weight store's rate.
// Nothing is unloaded on the word of an old report.
//
// # Using a Planner
//
// A Planner does no I/O and has no clock. The holder of the zone's order lease
// steps it with SetModels, SetEndpoints, SetDemand, Report and Tick, and serves
// what Ready hands out: it sends each Order with the fencing number that
// lease.MayWrite returns right before, and with an expiry of Settings.OrderFor.
// A new holder starts with a new Planner, which adopts what endpoints report.
package placement
