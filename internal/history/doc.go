// Package history checks the system's promises over a recorded history.
//
// A history is what can be seen from outside: dispatches and runs at the
// endpoints, answers at the callers, sheddings, endpoints that leave,
// configuration in force, planned stops. It is a sequence of Events, one JSON
// object a line, in any order; Check sorts it by time. Each promise has one
// check that reads the history alone, never a process's internal state.
//
// A Recorder collects events from many goroutines. Times come from one clock:
// a history that joins the records of several machines is as good as their
// clocks are.
package history
