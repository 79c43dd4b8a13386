// Package prefix estimates which blocks of prompt tokens an engine holds in
// its prefix cache, in bounded memory.
//
// An Index belongs to one engine. Insert records the prompt of a request that
// was granted there; Apply corrects the estimate by the engine's own cache
// events, which arrive late and with gaps: a gap lowers the Confidence by which
// callers multiply matches, and every event without a gap raises it again.
// An Evictor holds the blocks and decides which one to discard when it is full.
//
// The package does no I/O and is not safe for concurrent use.
package prefix
