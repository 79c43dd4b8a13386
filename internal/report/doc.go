// Package report sums up the logs of a deployment: what its callers got, second by
// second and by cause, and what happened in the fleet at the same time.
//
// # Problem
//
// On call, the question is which seconds went wrong, for whom and why. The logs answer
// it, but 300 instances write hundreds of thousands of lines in an hour.
//
// # Contract
//
// A Builder takes log lines in any order. Its memory grows with the length of the period,
// with the number of ranks, routes, zones and organisations, and not with the number of
// lines. Report returns the figures, WritePage a page of HTML with plots that needs no
// network.
//
// # Terms
//
// A call is one request on a transparent route; it has one outcome:
//
//   - answered: an endpoint's answer reached the caller, within the latency target,
//   - late: the same, after the target,
//   - endpoint error: an endpoint's answer with a status of 500 or more,
//   - refused: it was not run, and the caller was told so,
//   - failed: it may have run, and the caller has no whole answer.
//
// A call whose instance was killed, or whose line was dropped, is not in the logs.
package report
