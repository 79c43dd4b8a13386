// Package platformsvc simulates the platform in tests: the append-only log service, the list of
// instances and the weight store, in memory.
//
// A Service implements the interfaces of internal/platform directly, for tests in one process, and
// serves the HTTP protocol that the clients of internal/platform speak, for tests with processes.
// Its Faults reproduce the known faults and limits of the platform: outages, slowness, responses
// lost after the change took effect, rate limits, retention and a list that lags. They are set by
// SetFaults, or over HTTP by GET and PUT of /standin/faults, where a PUT changes only the fields
// that it names.
//
// The Service takes the time from Options.Now. With a virtual clock, callers must not pass a wait
// to Read; Faults.SlowMs sleeps through Options.Sleep.
package platformsvc
