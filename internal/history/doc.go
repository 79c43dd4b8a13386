// Package history checks the system's guarantees against a recorded history.
//
// A history holds what can be observed from outside: dispatches and runs at the
// endpoints, answers at the callers, shed requests, endpoints that leave, the
// configuration in force and planned stops. It is a sequence of Events, stored as
// one JSON object per line in any order; Check sorts it by time. Each guarantee
// has one check, which reads only the history and never a process's internal
// state.
//
// A Recorder collects events from many goroutines. The checks compare times as if
// they came from one clock: if a history joins the records of several machines,
// its accuracy is limited by how well their clocks agree.
package history
