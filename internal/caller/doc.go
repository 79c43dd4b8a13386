// Package caller is the HTTP edge towards callers. It proves who a caller is,
// checks what it sent, hands the request to the control goroutine and carries
// out the directives that come back until the final answer.
//
// docs/API.md is the reference of the interface. Every answer carries the
// request's id, its verdict and, where it was not served, a reason of the
// closed list and a time to come back.
package caller
