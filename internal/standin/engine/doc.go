// Package engine is a simulated model engine for tests and demonstrations: the engine of package
// model behind the HTTP interface of docs/ENGINE-PROTOCOL.md, driven by the wall clock.
//
// Like real engines it has no priorities, reports its load with a lag, sends cache events late and
// with gaps, and runs a request again that is sent again. It journals each dispatch. Faults are
// set by SetFaults or through PUT /standin/faults.
package engine
