// Package caller is the HTTP server for callers. It authenticates a caller,
// validates the request, submits it to the control goroutine and carries out the
// directives for it until the final answer.
//
// docs/API.md is the reference of the interface. Every response carries the
// request's id and verdict. If the request was not served, it also carries one of
// the reasons in package verdict and, where a retry makes sense, the time after
// which to retry.
package caller
