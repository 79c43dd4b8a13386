package platformsvc

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/platform"
)

var _ platform.Log = (*Service)(nil)

// MaxReadBytes bounds the data that one Read returns. A single record is returned even if it is
// larger.
const MaxReadBytes = 4 << 20

// stream is one stream of the log, with the records that are still retained.
type stream struct {
	first   platform.Offset
	records []platform.Record
	// changed is closed and replaced at each append.
	changed chan struct{}
}

func (st *stream) next() platform.Offset { return st.first + platform.Offset(len(st.records)) }

// stream returns the stream with this name and creates it if necessary. The caller holds the lock.
func (s *Service) stream(name platform.Stream) *stream {
	st := s.streams[name]
	if st == nil {
		st = &stream{changed: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

// Append implements platform.Log.
func (s *Service) Append(ctx context.Context, name platform.Stream, data []byte) (platform.Offset, error) {
	if err := s.applyLogFaults(ctx); err != nil {
		return 0, appendFailure(err)
	}
	if len(data) > platform.MaxRecordBytes {
		return 0, trace.Wrap(platform.ErrNotAppended, "record is too long")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if !s.appends.AllowN(now, 1) {
		return 0, trace.Wrap(platform.ErrNotAppended, "rate limit")
	}
	st := s.stream(name)
	off := st.next()
	st.records = append(st.records, platform.Record{Offset: off, Time: now, Data: append([]byte(nil), data...)})
	s.appended++
	close(st.changed)
	st.changed = make(chan struct{})
	s.retain(st, now)
	if s.faults.LoseAppendResponses > 0 {
		s.faults.LoseAppendResponses--
		return 0, trace.Wrap(platform.ErrUnknownOutcome, "answer lost")
	}
	return off, nil
}

// Read implements platform.Log.
func (s *Service) Read(ctx context.Context, name platform.Stream, from platform.Offset, limit int, wait time.Duration) (platform.ReadResult, error) {
	if err := s.applyLogFaults(ctx); err != nil {
		return platform.ReadResult{}, trace.Wrap(platform.ErrUnavailable, "%v", err)
	}
	res, changed, err := s.readNow(name, from, limit)
	if err != nil || len(res.Records) > 0 || wait <= 0 {
		return res, err
	}
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	select {
	case <-changed:
	case <-waitCtx.Done():
	}
	if err := s.applyLogFaults(ctx); err != nil {
		return platform.ReadResult{}, trace.Wrap(platform.ErrUnavailable, "%v", err)
	}
	res, _, err = s.readNow(name, from, limit)
	return res, err
}

// readNow reads the records that exist, without waiting. It also returns the channel that the next
// append closes.
func (s *Service) readNow(name platform.Stream, from platform.Offset, limit int) (platform.ReadResult, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	s.retain(st, s.now())
	res := platform.ReadResult{First: st.first, Next: st.next()}
	if from < st.first {
		return res, st.changed, trace.Wrap(platform.ErrTruncated)
	}
	bytes := 0
	for _, rec := range st.records[min(int(from-st.first), len(st.records)):] {
		bytes += len(rec.Data)
		if len(res.Records) >= limit || len(res.Records) > 0 && bytes > MaxReadBytes {
			break
		}
		res.Records = append(res.Records, rec)
	}
	return res, st.changed, nil
}

// retain removes the records that exceed the retention limits. The caller holds the lock.
func (s *Service) retain(st *stream, now time.Time) {
	drop := 0
	if n := s.faults.RetainRecords; n > 0 {
		drop = max(0, len(st.records)-n)
	}
	if age := seconds(s.faults.RetainSec); age > 0 {
		for drop < len(st.records) && now.Sub(st.records[drop].Time) > age {
			drop++
		}
	}
	st.records = st.records[drop:]
	st.first += platform.Offset(drop)
}

// applyLogFaults applies the outage and the slowness of the log at the start of a call.
func (s *Service) applyLogFaults(ctx context.Context) error {
	f := s.Faults()
	if err := outageError(ctx, f.LogOutage); err != nil {
		return err
	}
	if f.SlowMs > 0 {
		if err := s.sleep(ctx, time.Duration(f.SlowMs)*time.Millisecond); err != nil {
			return errNoAnswer
		}
	}
	return ctx.Err()
}

// errRefused and errNoAnswer are the errors of the two kinds of outage.
var (
	errRefused  = errors.New("refused")
	errNoAnswer = errors.New("no answer")
)

// outageError returns the error of a call to a service in the given outage, nil if there is none.
// For OutageUnresponsive it waits until ctx ends.
func outageError(ctx context.Context, o Outage) error {
	switch o {
	case OutageRefuse:
		return errRefused
	case OutageUnresponsive:
		<-ctx.Done()
		return errNoAnswer
	default:
		return nil
	}
}

// appendFailure converts the error of an append that failed before it took effect to what its
// caller can know: a refused append had no effect, but an unanswered one may have had one.
func appendFailure(err error) error {
	if errors.Is(err, errRefused) {
		return trace.Wrap(platform.ErrNotAppended, "%v", err)
	}
	return trace.Wrap(platform.ErrUnknownOutcome, "%v", err)
}
