// Package broker grants the slots of engines to requests.
//
// # Problem
//
// Engines know no ranks, run a fixed number of requests at a time and admit
// the rest in the order of arrival. Requests that wait inside an engine can't
// be reordered or withdrawn, and an engine's load reports are out of date when
// they arrive. So no request should wait inside an engine: one broker counts
// what all instances have sent to the engines of a pool in its availability
// zone, grants no more than the engines have slots, and queues the other
// requests itself. It is designed for more requests than the engines can serve
// in time, with some of the engines slow, failing or lost.
//
// # Terms
//
//   - A request is on time while an engine could still begin its answer before
//     the request's target. After that it is late, and has lower priority.
//   - A rank is short of room while not all its requests can be on time. It stands in overload once
//     its queue has been too long for a second; a queue that is shorter before that is a burst.
//   - An appointment is the moment at which a refused caller is told to come back, see package
//     appointment.
//   - The token times of an engine are its times per token of a prompt and of
//     an answer. They are learned from the reports of entries.
//   - The limit of an engine is the number of requests that it gets at a time: its
//     slots, or fewer if it showed that it gives no more answers with more.
//
// # Order
//
// A free slot goes to the highest rank among the requests that can be on time
// on its engine, and within a rank to the one with the earliest target. Where a
// rank is short of room and organisations compete, the one that has received
// least comes first instead, see package fairshare. Late requests get the
// remaining slots, by rank; within a rank, retries come first. A small share of
// the slot time is reserved for ranks that would otherwise starve.
//
// In a standing overload, requests that would wait for too long are refused at
// once. Refused callers get an appointment if room is expected in their time.
//
// # Contract
//
//   - A SlotRequest is answered by one Grant or Deny, unless it is withdrawn or
//     its entry is lost. Queued acknowledges that it waits, Forwarded that
//     another broker answers it.
//   - Where the memory of a pool's engines is stated, the prompts and expected answers
//     of what runs on one stay under it in 99 of 100 cases. A request larger than the
//     memory is denied at once; one that has to wait for memory is not passed for ever
//     by smaller ones.
//   - A granted slot is occupied until Done or Withdraw, until its entry is lost,
//     or until well after the request's deadline. The broker asks entries by
//     Audit about slots that have not been confirmed for a while.
//   - A broker that made no step for a while (a frozen process) discards its
//     state about requests: entries have turned to other brokers and report
//     again what they run.
//   - While instances disagree about the members, a pool can have two brokers
//     for a time. Requests may then wait inside engines; no other guarantee is
//     affected.
//
// A Broker has no I/O, clock or goroutine and isn't safe for concurrent use.
package broker
