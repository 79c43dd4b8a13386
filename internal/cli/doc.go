// Package cli is the command-line tool of operators and callers. Each command
// has its own file; App holds the streams, clients and flags that they share.
// Results are written to standard output, as tables for people or as JSON for
// programs; messages and errors go to standard error. The exit codes are in
// exit.go.
package cli
