package config

import "github.com/medlarhold/medlarhold/internal/platform"

// tailSearch walks back from the end of SnapshotStream to the last part of
// the newest whole snapshot, reading one record of each snapshot on the way.
// The zero value begins a search.
type tailSearch struct {
	// bounded is set once the stream's bounds are known.
	bounded bool
	// at is the offset to read next.
	at platform.Offset
	// end is the offset after the stream's newest record when it was bounded.
	end platform.Offset
}

// foundSnapshot is the result of a search.
type foundSnapshot struct {
	ok bool
	// last is the snapshot's last part, begin the offset of its first one.
	last  SnapshotPart
	begin platform.Offset
	// record is the record of the last part.
	record platform.Record
}

// ask returns what to read next.
func (t *tailSearch) ask() ReadRequest {
	return ReadRequest{Stream: SnapshotStream, From: t.at, Limit: 1}
}

// handle takes the answer to ask, also one that says that retention has passed
// the offset. It says when the search is done.
func (t *tailSearch) handle(res platform.ReadResult) (foundSnapshot, bool) {
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

// stepTo goes on at the offset, or ends the search before the oldest one.
func (t *tailSearch) stepTo(first, at platform.Offset) (foundSnapshot, bool) {
	t.at = at
	return foundSnapshot{}, at < first
}
