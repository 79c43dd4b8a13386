package gateway

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/medlarhold/medlarhold/internal/core/broker"
)

// gauges exposes the local state of the instance at the time of the scrape: the ages
// of its configuration and endpoints, and the load of the engines whose slots it
// grants as a broker.
type gauges struct{ g *Instance }

var (
	descConfigAge    = prometheus.NewDesc("medlarhold_config_age_milliseconds", "time since the configuration was last proved to be the newest, -1 if never", nil, nil)
	descEndpointsAge = prometheus.NewDesc("medlarhold_endpoints_age_milliseconds", "age of the endpoint table, -1 if it was never read", nil, nil)
	descEndpoints    = prometheus.NewDesc("medlarhold_endpoints", "number of known endpoints", nil, nil)
	descQuarantined  = prometheus.NewDesc("medlarhold_quarantined_parts", "parts of prompts that are kept away from engines because they crash them", nil, nil)
	descHeld         = prometheus.NewDesc("medlarhold_held_bytes", "request bodies and unread answers in memory, in bytes", nil, nil)
	descHeldLimit    = prometheus.NewDesc("medlarhold_held_bytes_limit", "limit of medlarhold_held_bytes", nil, nil)
	descSlowCallers  = prometheus.NewDesc("medlarhold_slow_callers", "callers that read more slowly than their answers arrive", nil, nil)
	descLimited      = prometheus.NewDesc("medlarhold_limited_endpoints", "endpoints that have stated how many requests a second they take", nil, nil)
	descWaiting      = prometheus.NewDesc("medlarhold_pool_waiting", "requests waiting for a slot at this broker", []string{"pool"}, nil)
	descRunning      = prometheus.NewDesc("medlarhold_endpoint_running", "slots in use, as counted by the broker", []string{"pool", "endpoint"}, nil)
	descSlots        = prometheus.NewDesc("medlarhold_endpoint_slots", "total number of slots", []string{"pool", "endpoint"}, nil)
	descAnswerToken  = prometheus.NewDesc("medlarhold_endpoint_answer_token_microseconds", "estimated time per answer token", []string{"pool", "endpoint"}, nil)
	descLimit        = prometheus.NewDesc("medlarhold_endpoint_limit", "number of requests that the endpoint gets at a time: its slots, or the learned limit", []string{"pool", "endpoint"}, nil)
	descSlowdown     = prometheus.NewDesc("medlarhold_endpoint_slowdown", "latest slowdown that the endpoint stated, relative to its mean", []string{"pool", "endpoint"}, nil)
	descSlowness     = prometheus.NewDesc("medlarhold_endpoint_slowness", "learned time to a first event, relative to the mean of the pool", []string{"pool", "endpoint"}, nil)
	descDemand       = prometheus.NewDesc("medlarhold_pool_demand_slots", "slots that new requests of a rank would need", []string{"pool", "rank"}, nil)
	descOverloaded   = prometheus.NewDesc("medlarhold_pool_overloaded", "1 while requests of a rank that would wait too long are refused", []string{"pool", "rank"}, nil)
	descSharing      = prometheus.NewDesc("medlarhold_pool_sharing_organisations", "organisations whose service counts, while a rank is short of room", []string{"pool", "rank"}, nil)
	descAppointments = prometheus.NewDesc("medlarhold_pool_appointments", "refused requests since the start that were told when there is room, by outcome", []string{"pool", "outcome"}, nil)
	descHeldTokens   = prometheus.NewDesc("medlarhold_endpoint_held_tokens", "tokens that the endpoint's requests are expected to take of its memory", []string{"pool", "endpoint"}, nil)
	descMemoryTokens = prometheus.NewDesc("medlarhold_endpoint_memory_tokens", "tokens that the endpoint's memory holds", []string{"pool", "endpoint"}, nil)
	descExcluded     = prometheus.NewDesc("medlarhold_endpoint_passed_over", "1 while the endpoint gets no requests because it is silent, failing or leaving", []string{"pool", "endpoint"}, nil)
)

// Describe implements prometheus.Collector. It sends no descriptors, which makes the
// collector unchecked: its metrics depend on the roles that the instance holds.
func (gauges) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector. It sends only what is held while the control
// goroutine is too busy to answer.
func (x gauges) Collect(ch chan<- prometheus.Metric) {
	send := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	backlog := x.g.edge.Backlog()
	send(descHeld, float64(backlog.HeldBytes))
	send(descHeldLimit, float64(backlog.LimitBytes))
	send(descSlowCallers, float64(backlog.SlowCallers))
	s, ok := x.g.StateSnapshot()
	if !ok {
		return
	}
	send(descConfigAge, float64(s.ConfigAgeMs))
	send(descEndpointsAge, float64(s.EndpointsAgeMs))
	send(descEndpoints, float64(s.Endpoints))
	send(descQuarantined, float64(len(s.Quarantined)))
	send(descLimited, float64(len(s.LimitedEndpoints)))
	for _, load := range s.ElectedLoads {
		if !s.Grants(load.Pool) {
			continue
		}
		pool := string(load.Pool)
		send(descWaiting, float64(load.Waiting), pool)
		sendRoom(send, load)
		for _, e := range load.Engines {
			id := string(e.Endpoint)
			send(descRunning, float64(e.Running), pool, id)
			send(descSlots, float64(e.Slots), pool, id)
			send(descLimit, float64(e.Limit), pool, id)
			if e.Slowdown > 0 {
				send(descSlowdown, e.Slowdown, pool, id)
			}
			if e.Slowness > 0 {
				send(descSlowness, e.Slowness, pool, id)
			}
			send(descAnswerToken, float64(e.AnswerTokenUs), pool, id)
			if e.MemoryTokens > 0 {
				send(descHeldTokens, float64(e.HeldTokens), pool, id)
				send(descMemoryTokens, float64(e.MemoryTokens), pool, id)
			}
			send(descExcluded, boolToFloat(e.Unresponsive || e.Leaving || e.PausedMs > 0), pool, id)
		}
	}
}

// sendRoom sends what a pool is asked for by rank, and its appointments.
func sendRoom(send func(d *prometheus.Desc, v float64, labels ...string), load broker.Load) {
	pool := string(load.Pool)
	for _, r := range load.Ranks {
		rank := strconv.Itoa(r.Rank)
		send(descDemand, r.Demand, pool, rank)
		send(descOverloaded, boolToFloat(r.Overloaded), pool, rank)
		if r.ShareLevels {
			send(descSharing, float64(r.Organisations), pool, rank)
		}
	}
	a := load.Appointments
	send(descAppointments, float64(a.Made), pool, "made")
	send(descAppointments, float64(a.Kept), pool, "kept")
	send(descAppointments, float64(a.Missed), pool, "missed")
	send(descAppointments, float64(a.None), pool, "none")
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
