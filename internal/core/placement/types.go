package placement

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// Model is a model that may be placed.
type Model struct {
	ID        entity.ModelID
	Version   string
	Bytes     int64 // size of its weights
	MinCopies int
	Adapters  []entity.AdapterID
	// AdapterBytes is the size of one adapter.
	AdapterBytes int64
}

// Endpoint is an engine that models may be placed on. A leaving endpoint gets no orders.
type Endpoint struct {
	ID          entity.EndpointID
	MemoryBytes int64 // available for weights
	Leaving     bool
}

// Item is the unit that an order loads or unloads: a version of a model, or an
// adapter for that version.
type Item struct {
	Model   entity.ModelID
	Version string
	Adapter entity.AdapterID // empty for the model itself
}

// Report lists the items that an endpoint holds, by its own account.
type Report struct {
	Endpoint entity.EndpointID
	Ready    []Item
	Loading  []Item
	// InUse lists the items with requests on the endpoint; a request for an
	// adapter uses its model as well.
	InUse []Item
}

// Action is the kind of an order.
type Action string

// Actions that an order can ask for.
const (
	ActionLoad   Action = "load"
	ActionUnload Action = "unload"
)

// Order asks one endpoint to load or unload one item. It is idempotent.
type Order struct {
	Endpoint entity.EndpointID
	Action   Action
	Item     Item
	Bytes    int64         // size of the download; 0 for ActionUnload
	TTL      time.Duration // the order expires this long after it was sent
}

// Drain names an item that is to be unloaded from an endpoint. No new requests
// should be sent to it.
type Drain struct {
	Endpoint entity.EndpointID
	Item     Item
}

// Ready holds the planner's output: orders to send and items to drain.
type Ready struct {
	Orders []Order
	// Drains lists all ready items that are to be unloaded as of the last Tick,
	// not only those that were added since the one before.
	Drains []Drain
}

// Settings of a Planner. The zero value of each field takes the default.
type Settings struct {
	// ScaleDownDelay is how long demand must have stayed low before a copy is removed.
	ScaleDownDelay time.Duration
	// DownloadBytesPerSec is this planner's share of the weight store's rate.
	DownloadBytesPerSec int64
	// OrderTTL is the time after which an endpoint must no longer carry out an order.
	OrderTTL time.Duration
	// OrderRetry is how long an order may take to show its effect in a report
	// before it is issued again; at least the sum of OrderTTL and ReportMaxAge.
	// A copy is also drained for this long before it is unloaded.
	OrderRetry time.Duration
	// ReportMaxAge is the maximum age of a report that the planner acts on,
	// including the time it took to arrive.
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
