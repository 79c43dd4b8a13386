package platform

import (
	"errors"
	"net/http"
	"testing"
)

// FuzzReadAnswer decodes arbitrary responses to a read. The records of an accepted
// response must be consecutive from the requested offset.
func FuzzReadAnswer(f *testing.F) {
	f.Add(http.StatusOK, []byte(`{"records":[{"offset":3,"data":"eA=="}],"first":0,"next":4}`))
	f.Add(http.StatusOK, []byte(`{"records":[{"offset":2}],"first":9,"next":4}`))
	f.Add(http.StatusGone, []byte(`{"code":"truncated","first":5,"next":9}`))
	f.Add(http.StatusBadGateway, []byte(`<html>`))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		const from = 3
		res, err := reply{status: status, body: body}.readResult(from)
		if err != nil {
			if !errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrTruncated) {
				t.Fatalf("unexpected kind of error: %v", err)
			}
			return
		}
		for i, rec := range res.Records {
			if rec.Offset != from+Offset(i) || rec.Offset >= res.Next {
				t.Fatalf("accepted records that are not consecutive from offset %d: %+v", from, res)
			}
		}
	})
}

// FuzzAppendAnswer decodes arbitrary responses to an append. Only an error response
// with CodeNotAppended may result in ErrNotAppended.
func FuzzAppendAnswer(f *testing.F) {
	f.Add(http.StatusOK, []byte(`{"offset":0}`))
	f.Add(http.StatusOK, []byte(`{}`))
	f.Add(http.StatusServiceUnavailable, []byte(`{"code":"not_appended"}`))
	f.Add(http.StatusServiceUnavailable, []byte(``))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		r := reply{status: status, body: body}
		off, err := r.appended()
		switch {
		case err == nil:
			if status != http.StatusOK || off < 0 {
				t.Fatalf("status %d accepted with offset %d", status, off)
			}
		case errors.Is(err, ErrNotAppended):
			if status == http.StatusOK || r.errorResponse().Code != CodeNotAppended {
				t.Fatalf("status %d taken as not appended", status)
			}
		case !errors.Is(err, ErrUnknownOutcome):
			t.Fatalf("unexpected kind of error: %v", err)
		}
	})
}
