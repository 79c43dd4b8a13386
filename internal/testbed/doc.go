// Package testbed starts the system's programs and the simulated components around them as
// separate processes on loopback, for tests and measurements. No production code imports it. It ends
// only processes that it started, by their id.
package testbed
