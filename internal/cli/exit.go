package cli

import "errors"

// ExitCode is the exit status of the tool.
type ExitCode int

// The exit codes.
const (
	ExitOK      ExitCode = 0
	ExitFailure ExitCode = 1
	// ExitInvalid means that a file is invalid and nothing was published.
	ExitInvalid ExitCode = 2
	// ExitConflict means that another operator's change of the object came first.
	ExitConflict ExitCode = 3
	// ExitUnreachable means that a service did not answer and nothing changed.
	ExitUnreachable ExitCode = 4
	// ExitUnknownOutcome means that it is unknown whether a change was published.
	ExitUnknownOutcome ExitCode = 5
	// ExitNotInForce means that a change is published, but not in force everywhere yet.
	ExitNotInForce ExitCode = 6
	// ExitNotRun means that a request was not run.
	ExitNotRun ExitCode = 7
	// ExitMayHaveRun means that a request may have run.
	ExitMayHaveRun ExitCode = 8
	// ExitUsage means that the command line is wrong.
	ExitUsage ExitCode = 64
)

// exitError is an error with its exit code and a hint that tells the user what to
// do next.
type exitError struct {
	code ExitCode
	err  error
	hint string
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

// fail returns an exitError.
func fail(code ExitCode, err error, hint string) error {
	return &exitError{code: code, err: err, hint: hint}
}

// codeOf returns the exit code for an error. Errors without one come from the
// parsing of the command line.
func codeOf(err error) ExitCode {
	var e *exitError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &e):
		return e.code
	default:
		return ExitUsage
	}
}

// exitCodesHelp documents the exit codes in the tool's help.
const exitCodesHelp = `Exit codes:
  0   done
  1   other failure
  2   a file is invalid; nothing was published
  3   another operator's change came first; this one was not applied
  4   a service could not be reached; nothing was changed
  5   a change may have been published; run the same command again
  6   published, but not yet in force everywhere
  7   a request was not run
  8   a request may have run
  64  invalid command line`
