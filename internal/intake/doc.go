// Package intake bounds what clients can make a process hold, where their bytes arrive.
//
// # Problem
//
// A server of package net/http limits a head by its bytes, but holds it parsed: a head of 250 kB in short lines takes
// megabytes. It limits neither how many heads, bodies and connections there are at a time, nor how long an unfinished
// request stays. A crowd of clients that send much, or stop short of the end, takes a process over the memory or the
// descriptors of its machine.
//
// # Terms
//
//   - The Account has all that clients make the process hold, in bytes, whatever listener they use: package backlog
//     decides on it.
//   - A Holding is one entry of it, mostly that of a connection.
//   - A Budget is what a process may use: memory and descriptors, and the share of each listener.
//   - A connection is unfinished while its client has sent no whole request: it may be let go to make room.
//
// # Contract
//
//   - Bytes are counted as they were sent, and charged at what they cost once parsed and passed on, before the HTTP
//     server gets them. What exceeds a limit, or finds no room, never reaches it.
//   - The HTTP server reads no byte of a request before the one before it has ended.
//   - A connection that is let go, or refused, before its request is whole never passes the request on, and a status is
//     sent on it only then: 503 or 408, or 431 for a head over the limit. Each means that the request did not run.
//   - A Listener keeps at most MaxConns connections. For a new one it lets unfinished ones go, those first on which no
//     request was served, then those that have waited for longest.
package intake
