package config

import "github.com/medlarhold/medlarhold/internal/platform"

// SnapshotPart is one of the records that together carry a whole state.
type SnapshotPart struct {
	// Next is the offset of the first record that is not in the snapshot.
	Next platform.Offset `json:"next"`
	// Part counts from 0 to Parts-1.
	Part  int `json:"part"`
	Parts int `json:"parts"`
	// Data is the part's objects, compressed.
	Data []byte `json:"data"`
}
