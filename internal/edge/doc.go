// Package edge serves callers on transparent routes: it forwards a request
// unchanged to an endpoint and the endpoint's response unchanged to the caller.
//
// # Contract
//
//   - Method, path, query and body reach the endpoint unchanged. Hop-by-hop
//     headers and headers reserved for the system are removed.
//   - A response is forwarded with its status, headers and body. If it breaks off
//     after its header was sent, the caller's connection is closed, so that the
//     response can't look complete.
//   - A refusal with status 408, 429 or 503 guarantees that the request was not run
//     and will not be. After a dispatch whose result is unknown the caller gets 502 or
//     504, which guarantee nothing.
//   - A request that may not be repeated is sent to at most one endpoint, not
//     counting endpoints that provably did not run it.
package edge
