// Package engine is a stand-in for a model engine, for tests and
// demonstrations: the engine of package model behind the HTTP interface of
// docs/ENGINE-PROTOCOL.md, driven by the wall clock.
//
// It keeps the habits of real engines: no priorities, load reports with a
// lag, cache events late and with gaps, requests run again when they are sent
// again. It journals each dispatch, and faults can be set by method or
// through PUT /standin/faults.
package engine
