package claim

// ref refers to the state of a key as of one sequence number. It is stale once the
// key has a later one.
type ref struct {
	key Hash
	seq uint64
}

// fifo is a queue of refs that reuses its memory.
type fifo struct {
	refs []ref
	head int
}

// compactSlack is the number of refs that a fifo may hold beyond twice the number
// of live keys.
const compactSlack = 64

func (f *fifo) push(r ref) { f.refs = append(f.refs, r) }

func (f *fifo) len() int { return len(f.refs) - f.head }

// popWhile removes refs from the head for as long as done returns true.
func (f *fifo) popWhile(done func(ref) bool) {
	for f.head < len(f.refs) && done(f.refs[f.head]) {
		f.head++
	}
}

// compact removes popped and stale refs once there are compactSlack more refs than
// twice the number of live keys.
func (f *fifo) compact(live int, stale func(ref) bool) {
	if len(f.refs) <= 2*live+compactSlack {
		return
	}
	kept := f.refs[:0]
	for _, r := range f.refs[f.head:] {
		if !stale(r) {
			kept = append(kept, r)
		}
	}
	f.refs, f.head = kept, 0
}
