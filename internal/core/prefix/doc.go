// Package prefix estimates which blocks of prompt tokens an engine holds in
// its prefix cache, in bounded memory.
//
// An Index belongs to one engine. Insert records the prompt of a request that
// was granted there; Apply corrects the estimate by the engine's own cache
// events, which come late and with gaps: a gap lowers the Trust that callers
// multiply matches with, and every event without a gap raises it again.
// Which block to forget when memory is full is decided by an Evictor.
//
// The package is pure and not safe for concurrent use.
package prefix
