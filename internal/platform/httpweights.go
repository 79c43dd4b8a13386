package platform

import (
	"context"
	"net/http"

	"github.com/gravitational/trace"
)

// HTTPWeightStore is the HTTP client of the weight store. It is safe for
// concurrent use.
type HTTPWeightStore struct {
	client client
}

var _ WeightStore = (*HTTPWeightStore)(nil)

// NewHTTPWeightStore returns a client of the weight store at baseURL.
func NewHTTPWeightStore(baseURL string, hc *http.Client) *HTTPWeightStore {
	return &HTTPWeightStore{client: newClient(baseURL, hc)}
}

// WeightStat is the body of the response about one set of weights.
type WeightStat struct {
	Bytes int64 `json:"bytes"`
}

// Stat implements WeightStore. The error for unknown weights is a trace.NotFound.
func (w *HTTPWeightStore) Stat(ctx context.Context, name string) (int64, error) {
	r, err := w.client.do(ctx, w.client.base.New().Get("weights/"+pathSegment(name)), ExchangeTimeout)
	if err != nil {
		return 0, trace.Wrap(ErrUnavailable, "%v", err)
	}
	if r.status == http.StatusNotFound {
		return 0, trace.NotFound("weights %q are not in the store", name)
	}
	var st WeightStat
	if err := r.decodeOK(&st); err != nil {
		return 0, err
	}
	if st.Bytes < 0 {
		return 0, trace.Wrap(ErrUnavailable, "weights %q have size %d", name, st.Bytes)
	}
	return st.Bytes, nil
}
