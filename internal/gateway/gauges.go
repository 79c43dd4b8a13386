package gateway

import (
	"github.com/prometheus/client_golang/prometheus"
)

// gauges exposes the local state of the instance at the time of the scrape: the ages
// of its configuration and endpoints, and the load of the engines whose slots it
// grants as a broker.
type gauges struct{ g *Instance }

var (
	descConfigAge    = prometheus.NewDesc("medlarhold_config_age_milliseconds", "time since the configuration was proved the newest, -1 for never", nil, nil)
	descEndpointsAge = prometheus.NewDesc("medlarhold_endpoints_age_milliseconds", "age of the table of endpoints, -1 for never", nil, nil)
	descEndpoints    = prometheus.NewDesc("medlarhold_endpoints", "endpoints known", nil, nil)
	descWaiting      = prometheus.NewDesc("medlarhold_pool_waiting", "requests that wait here for a slot", []string{"pool"}, nil)
	descRunning      = prometheus.NewDesc("medlarhold_endpoint_running", "slots taken, as their broker counts", []string{"pool", "endpoint"}, nil)
	descSlots        = prometheus.NewDesc("medlarhold_endpoint_slots", "slots there are", []string{"pool", "endpoint"}, nil)
	descAnswerToken  = prometheus.NewDesc("medlarhold_endpoint_answer_token_microseconds", "time for a token of an answer, as learned", []string{"pool", "endpoint"}, nil)
	descExcluded     = prometheus.NewDesc("medlarhold_endpoint_passed_over", "1 while an endpoint is given nothing: silent, failing or leaving", []string{"pool", "endpoint"}, nil)
)

// Describe implements prometheus.Collector. It sends no descriptors, which makes the
// collector unchecked: its metrics depend on the roles that the instance holds.
func (gauges) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector. It sends no metrics while the control
// goroutine is too busy to answer.
func (x gauges) Collect(ch chan<- prometheus.Metric) {
	s, ok := x.g.StateSnapshot()
	if !ok {
		return
	}
	send := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	send(descConfigAge, float64(s.ConfigAgeMs))
	send(descEndpointsAge, float64(s.EndpointsAgeMs))
	send(descEndpoints, float64(s.Endpoints))
	for _, load := range s.ElectedLoads {
		if !s.Grants(load.Pool) {
			continue
		}
		pool := string(load.Pool)
		send(descWaiting, float64(load.Waiting), pool)
		for _, e := range load.Engines {
			id := string(e.Endpoint)
			send(descRunning, float64(e.Running), pool, id)
			send(descSlots, float64(e.Slots), pool, id)
			send(descAnswerToken, float64(e.AnswerTokenUs), pool, id)
			send(descExcluded, boolToFloat(e.Unresponsive || e.Leaving || e.PausedMs > 0), pool, id)
		}
	}
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
