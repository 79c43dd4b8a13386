// Package platformsvc stands in for the platform in tests: the append-only
// log service, the list of instances and the weight store, in memory.
//
// A Service implements the interfaces of internal/platform directly, for tests
// in one process, and serves the HTTP protocol that the clients of
// internal/platform speak, for tests with processes. Its Faults bring about
// what the platform is known to do: outages, slowness, answers lost after the
// change took effect, rate limits, retention and a lagging list. They are set
// by SetFaults, or over HTTP by GET and PUT of /standin/faults, where a PUT
// changes only the fields that it names.
//
// The Service takes its time from Options.Now. With a virtual clock a Read
// must not wait, and Faults.SlowMS sleeps through Options.Sleep.
package platformsvc
