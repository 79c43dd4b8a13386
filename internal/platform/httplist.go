package platform

import (
	"context"
	"net/http"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// HTTPInstanceList is the HTTP client of the platform's list of instances. It
// is safe for concurrent use.
type HTTPInstanceList struct {
	client client
}

var _ InstanceList = (*HTTPInstanceList)(nil)

// NewHTTPInstanceList returns a client of the list at baseURL.
func NewHTTPInstanceList(baseURL string, hc *http.Client) *HTTPInstanceList {
	return &HTTPInstanceList{client: newClient(baseURL, hc)}
}

// InstanceRow is the wire format of one row of the list.
type InstanceRow struct {
	ID           entity.InstanceID `json:"id"`
	Zone         entity.ZoneID     `json:"zone"`
	Region       entity.RegionID   `json:"region,omitempty"`
	PeerAddress  string            `json:"peer_address"`
	AdminAddress string            `json:"admin_address,omitempty"`
	Capacity     int               `json:"capacity,omitempty"`
	Leaving      bool              `json:"leaving,omitempty"`
}

// Register implements InstanceList.
func (l *HTTPInstanceList) Register(ctx context.Context, in entity.Instance) error {
	req := l.client.base.New().Put("instances/" + pathSegment(string(in.ID))).BodyJSON(InstanceRow(in))
	r, err := l.client.do(ctx, req, ExchangeTimeout)
	return acknowledged(r, err)
}

// Deregister implements InstanceList.
func (l *HTTPInstanceList) Deregister(ctx context.Context, id entity.InstanceID) error {
	req := l.client.base.New().Delete("instances/" + pathSegment(string(id)))
	r, err := l.client.do(ctx, req, ExchangeTimeout)
	return acknowledged(r, err)
}

// acknowledged returns the error of a change of the list, nil if the service
// acknowledged it.
func acknowledged(r reply, err error) error {
	if err != nil {
		return trace.Wrap(ErrUnavailable, "%v", err)
	}
	if r.status != http.StatusNoContent && r.status != http.StatusOK {
		return trace.Wrap(ErrUnavailable, "status %d: %s", r.status, r.errorResponse().Message)
	}
	return nil
}

// List implements InstanceList.
func (l *HTTPInstanceList) List(ctx context.Context) ([]entity.Instance, error) {
	r, err := l.client.do(ctx, l.client.base.New().Get("instances"), ExchangeTimeout)
	if err != nil {
		return nil, trace.Wrap(ErrUnavailable, "%v", err)
	}
	var rows []InstanceRow
	if err := r.decodeOK(&rows); err != nil {
		return nil, err
	}
	out := make([]entity.Instance, len(rows))
	for i, row := range rows {
		out[i] = entity.Instance(row)
	}
	return out, nil
}
