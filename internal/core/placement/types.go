package placement

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// Model is a model that may be placed.
type Model struct {
	ID        entity.ModelID
	Version   string
	Bytes     int64 // of its weights
	MinCopies int
	Adapters  []entity.AdapterID
	// AdapterBytes is the size of one adapter.
	AdapterBytes int64
}

// Endpoint is an engine that models may be placed on.
type Endpoint struct {
	ID          entity.EndpointID
	MemoryBytes int64 // for weights
	Leaving     bool
}

// Item is what an order loads or unloads: a version of a model, or an adapter
// on top of it.
type Item struct {
	Model   entity.ModelID
	Version string
	Adapter entity.AdapterID // empty for the model itself
}

// Report is what an endpoint says that it holds.
type Report struct {
	Endpoint entity.EndpointID
	Ready    []Item
	Loading  []Item
	// InUse lists the items with requests on the endpoint; a request for an
	// adapter uses its model as well.
	InUse []Item
}

// Action is what an order asks for.
type Action string

// The actions.
const (
	ActionLoad   Action = "load"
	ActionUnload Action = "unload"
)

// Order asks one endpoint to load or unload one item. It is idempotent.
type Order struct {
	Endpoint entity.EndpointID
	Action   Action
	Item     Item
	Bytes    int64         // to be downloaded
	TTL      time.Duration // from when it is sent
}

// Drain names an item that is to go from an endpoint: it should get no new
// work.
type Drain struct {
	Endpoint entity.EndpointID
	Item     Item
}

// Ready is what the planner asks for.
type Ready struct {
	Orders []Order
	// Drains lists all copies that are to go, as of now.
	Drains []Drain
}

// Settings of a Planner. The zero value of each field takes the default.
type Settings struct {
	// ScaleDownDelay is how long demand must have stayed low before a copy goes.
	ScaleDownDelay time.Duration
	// DownloadBytesPerSec is this planner's share of the weight store's rate.
	DownloadBytesPerSec int64
	// OrderTTL is an order's expiry.
	OrderTTL time.Duration
	// OrderRetry is how long an order may take to show in a report before it
	// is given again; at least OrderFor and ReportMaxAge together. A copy is
	// drained for as long before it is unloaded.
	OrderRetry time.Duration
	// ReportMaxAge is how old a report may be to be acted on, its lag included.
	ReportMaxAge time.Duration
}

// Defaults of the Settings.
const (
	DefaultScaleDownDelay      = 5 * time.Minute
	DefaultDownloadBytesPerSec = 1 << 30
	DefaultOrderTTL            = 5 * time.Second
	DefaultOrderRetry          = 15 * time.Second
	DefaultReportMaxAge        = 10 * time.Second
)

func (s Settings) withDefaults() Settings {
	for _, d := range []struct {
		value *time.Duration
		def   time.Duration
	}{
		{&s.ScaleDownDelay, DefaultScaleDownDelay},
		{&s.OrderTTL, DefaultOrderTTL},
		{&s.OrderRetry, DefaultOrderRetry},
		{&s.ReportMaxAge, DefaultReportMaxAge},
	} {
		if *d.value <= 0 {
			*d.value = d.def
		}
	}
	s.OrderRetry = max(s.OrderRetry, s.OrderTTL+s.ReportMaxAge)
	if s.DownloadBytesPerSec <= 0 {
		s.DownloadBytesPerSec = DefaultDownloadBytesPerSec
	}
	return s
}
