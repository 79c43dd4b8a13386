package telemetry

import (
	"net/http"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rcrowley/go-metrics"
)

// quantiles holds the quantiles that are exposed for each histogram.
var quantiles = []float64{0.5, 0.95, 0.99}

// Handler returns an HTTP handler that serves these metrics, those of the process
// and the Go runtime, and those of other collectors in the Prometheus text format.
func (m *Metrics) Handler(others ...prometheus.Collector) http.Handler {
	reg := prometheus.NewRegistry()
	reg.MustRegister(&collector{registry: m.registry}, collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		collectors.NewGoCollector())
	reg.MustRegister(others...)
	return promhttp.HandlerFor(reg, promhttp.HandlerOpts{})
}

// collector exposes the metrics of a go-metrics registry to Prometheus.
type collector struct {
	registry metrics.Registry
}

// Describe implements prometheus.Collector. It sends nothing, which declares the
// collector unchecked: the set of metrics grows at run time, as reasons are
// first counted.
func (c *collector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (c *collector) Collect(ch chan<- prometheus.Metric) {
	c.registry.Each(func(name string, v any) {
		name, labels := splitLabels(name)
		desc := prometheus.NewDesc(name, strings.ReplaceAll(name, "_", " "), nil, labels)
		switch v := v.(type) {
		case metrics.Counter:
			ch <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(v.Count()))
		case metrics.Gauge:
			ch <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, float64(v.Value()))
		case metrics.Histogram:
			ch <- summary(desc, v.Snapshot())
		}
	})
}

func summary(desc *prometheus.Desc, h metrics.Histogram) prometheus.Metric {
	q := make(map[float64]float64, len(quantiles))
	for i, p := range h.Percentiles(quantiles) {
		q[quantiles[i]] = p
	}
	return prometheus.MustNewConstSummary(desc, uint64(h.Count()), float64(h.Sum()), q)
}

// splitLabels splits a name of the form name{a="x",b="y"} into the name and its
// labels.
func splitLabels(full string) (string, prometheus.Labels) {
	name, rest, ok := strings.Cut(full, "{")
	if !ok {
		return full, nil
	}
	labels := prometheus.Labels{}
	for _, pair := range strings.Split(strings.TrimSuffix(rest, "}"), ",") {
		if k, v, ok := strings.Cut(pair, "="); ok {
			labels[k] = strings.Trim(v, `"`)
		}
	}
	return name, labels
}
