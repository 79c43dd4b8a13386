package claim

// ref points to a key as one claim took it.
type ref struct {
	key Hash
	seq uint64
}

// fifo is a queue of refs that reuses its space.
type fifo struct {
	refs []ref
	head int
}

// compactSlack is how many refs a fifo may hold beyond twice the live keys.
const compactSlack = 64

func (f *fifo) push(r ref) { f.refs = append(f.refs, r) }

func (f *fifo) len() int { return len(f.refs) - f.head }

func (f *fifo) popWhile(done func(ref) bool) {
	for f.head < len(f.refs) && done(f.refs[f.head]) {
		f.head++
	}
}

// compact drops popped and stale refs once they outnumber the live keys.
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
