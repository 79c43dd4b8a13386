// Package testbed starts the system's programs and the stand-ins as separate
// processes on loopback, for tests and measurements. It is for tests only: no
// product code imports it. Every process it started is ended by its id.
package testbed
