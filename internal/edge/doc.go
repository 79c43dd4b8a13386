// Package edge serves callers on transparent routes: a request is carried to
// an endpoint as it came, and the endpoint's answer back as it came.
//
// # Contract
//
//   - Method, path, query and body reach the endpoint unchanged; headers that
//     concern one connection, and those that only the system may set, do not.
//   - An answer of an endpoint is passed on with its status, headers and body.
//     One that breaks off ends the caller's connection, so that it can't look
//     complete.
//   - A refusal with status 429 or 503 says that the request was not run and
//     will not be. After a dispatch whose end is unknown the caller gets 502 or
//     504, which say nothing.
//   - A request that may not be repeated is written to one endpoint at most,
//     but for those that provably did not run it.
package edge
