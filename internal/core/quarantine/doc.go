// Package quarantine finds the parts of prompts that crash engines, and the requests that crash
// endpoints of any kind, and says which requests must therefore not be sent to any.
//
// # Problem
//
// A defect of an engine may be triggered by one part of a prompt: each engine that begins
// an answer to such a request dies, with all the other requests that it runs. The callers
// send more of them, from everywhere and no two alike, so engines die one after the other.
// When an engine dies, a dozen requests are lost with it, and nothing says which of them was
// the cause. Engines die for other reasons as well.
//
// Or one request does it, at engines or plain services, and its caller sends it again and
// again. What was lost with it is sent again as well.
//
// # Terms
//
//   - A crash is the end of one incarnation of an engine, known by the runs that were lost
//     with it.
//   - A lost run is a suspect if its answer had not begun, or only just: an engine that has
//     been answering for a while was not killed by that prompt.
//   - A part is sound if an answer to a prompt with it has been arriving for a while. The
//     last part of a prompt is the request's own and never suspected.
//   - The key of a request is the digest of all that is the same when a caller repeats it.
//   - A part, or a request, is quarantined if it explains several crashes. Requests that
//     contain it, or are it, are refused.
//
// # How a part is found
//
// The candidates of a crash are the parts of its suspects that were never sound; if it has
// none, those that were not sound since. A crash counts for each of its candidates, and
// twice for a sole one that was never sound. The part that counts most is quarantined once
// it has enough crashes, at different times and with different requests, and explains all
// crashes that it is a candidate of: the other parts of the same requests are not blamed
// for them. Of two parts that always come together, the
// deeper one is blamed: the shorter a prefix, the more sound requests share it.
//
// A request is judged by itself, see request.go: it is in every crash that it causes, so three are
// enough, while another request that is in all of them too makes two more necessary.
//
// # How it spreads, and what ends it
//
// Each instance records the losses of its own runs and which parts it found sound, and
// exchanges both with the others. The quarantine is computed from these records alone, so
// instances with the same records agree, in whatever order they received them. A part is
// released when it is found sound after its crashes, or when these are forgotten, after
// EvidenceFor. One instance of the deployment tries a quarantined part now and then with a
// single request, ever more rarely the more trials fail. A quarantined request may be tried
// by any instance, each after a delay of its own.
//
// # Contract
//
//   - The memory and each message are bounded, whatever is lost.
//   - Only records that have changed since the last message are sent.
//   - A Table has no I/O, clock or goroutine and isn't safe for concurrent use.
package quarantine
