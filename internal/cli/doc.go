// Package cli is the operators' and callers' command-line tool. Each command
// has a file of its own; App holds what they share. Results go to the output
// as tables for people or as JSON for programs, messages and errors to the
// error output. The exit codes are in exit.go.
package cli
