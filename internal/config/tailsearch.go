package config

import "github.com/medlarhold/medlarhold/internal/platform"

// tailSearch searches SnapshotStream backwards from its end for the last part
// of the newest complete snapshot. It reads one record of each snapshot that it
// skips. The zero value begins a search.
type tailSearch struct {
	// bounded is set once the stream's bounds are known.
	bounded bool
	// at is the offset to read next.
	at platform.Offset
	// end is the offset after the newest record when the bounds were read.
	end platform.Offset
}

// foundSnapshot is the result of a search.
type foundSnapshot struct {
	// ok is false if there is no complete snapshot.
	ok bool
	// last is the snapshot's last part, begin the offset of its first one.
	last  SnapshotPart
	begin platform.Offset
	// record is the record of the last part.
	record platform.Record
}

// nextRead returns the next read to make.
func (t *tailSearch) nextRead() ReadRequest {
	return ReadRequest{Stream: SnapshotStream, From: t.at, Limit: 1}
}

// handleRead processes the result of the read that nextRead returned, also of
// one that failed with platform.ErrTruncated. The second result reports whether
// the search is done.
func (t *tailSearch) handleRead(res platform.ReadResult) (foundSnapshot, bool) {
	if !t.bounded {
		t.bounded, t.end = true, res.Next
		return t.stepTo(res.First, res.Next-1)
	}
	if len(res.Records) == 0 {
		*t = tailSearch{}
		return foundSnapshot{}, false
	}
	p, err := DecodeSnapshotPart(res.Records[0].Data)
	if err != nil {
		return t.stepTo(res.First, t.at-1)
	}
	begin := p.Begin
	if p.Part == 0 {
		begin = t.at
	}
	if !p.Last || begin < res.First || begin > t.at {
		return t.stepTo(res.First, min(begin, t.at)-1)
	}
	return foundSnapshot{ok: true, last: p, begin: begin, record: res.Records[0]}, true
}

// stepTo continues the search at the offset, or ends it without a snapshot if
// the offset is before first, the oldest one.
func (t *tailSearch) stepTo(first, at platform.Offset) (foundSnapshot, bool) {
	t.at = at
	return foundSnapshot{}, at < first
}
