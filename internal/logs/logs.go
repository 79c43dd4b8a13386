// Package logs reads the log files of instances: JSON lines, as package telemetry writes
// them, of one instance or of many, with or without the prefix of a log collector.
package logs

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// maxLineBytes is the longest line that is read. Instances write shorter ones.
const maxLineBytes = 1 << 20

// Line is a log line of an instance: its event and the fields that the tools evaluate.
type Line struct {
	// Source is the last word before the JSON object, by which a collector states the
	// instance, or the name of the file.
	Source string `json:"-"`
	// Raw is the whole line.
	Raw string `json:"-"`

	Time    time.Time `json:"ts"`
	Event   int       `json:"event"`
	Message string    `json:"msg"`

	// Fields of calls and endpoints; see docs/EVENTS.md. Times are in milliseconds.
	Request      entity.RequestID    `json:"request"`
	Verdict      verdict.Verdict     `json:"verdict"`
	Reason       verdict.Reason      `json:"reason"`
	Why          string              `json:"why"`
	Status       int                 `json:"status"`
	Endpoint     entity.EndpointID   `json:"endpoint"`
	Tried        []entity.EndpointID `json:"tried"`
	Route        string              `json:"route"`
	Organisation entity.OrgID        `json:"organisation"`
	Rank         int                 `json:"rank"`
	Config       int64               `json:"config"`
	Millis       int64               `json:"ms"`
	HeldMillis   int64               `json:"held_ms"`
	FirstMillis  int64               `json:"first_ms"`
	TargetMillis int64               `json:"target_ms"`
	RetryAfter   int64               `json:"retry_after_ms"`

	// Fields of the instance's own events.
	Zone    entity.ZoneID `json:"zone"`
	Version any           `json:"version"`
	Lines   int64         `json:"lines"`
}

// Read calls handle for each log line of r. Lines that are not of an instance are
// skipped. It returns an error if r fails or a line is too long.
func Read(name string, r io.Reader, handle func(*Line)) error {
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLineBytes)
	for in.Scan() {
		if l := parse(name, in.Bytes()); l != nil {
			handle(l)
		}
	}
	return trace.Wrap(in.Err(), "reading %s", name)
}

// parse returns the line, or nil if it is not of an instance.
func parse(name string, raw []byte) *Line {
	begin := bytes.IndexByte(raw, '{')
	if begin < 0 {
		return nil
	}
	l := &Line{Source: name}
	if json.Unmarshal(raw[begin:], l) != nil || l.Event == 0 {
		return nil
	}
	if words := bytes.Fields(raw[:begin]); len(words) > 0 {
		l.Source = string(words[len(words)-1])
	}
	l.Raw = string(raw)
	return l
}
