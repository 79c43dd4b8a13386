package main

import (
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/prometheus/procfs"

	"github.com/medlarhold/medlarhold/internal/testbed"
)

// sample holds the metrics of one instance and the kernel's figures for its
// process.
type sample struct {
	at time.Time
	// bytes are traffic counters by path and cause, summed over both directions.
	bytes map[traffic]float64
	// controlSec and requestSec are the seconds that the control goroutine spent
	// on control and on requests.
	controlSec, requestSec float64
	goroutines             float64
	heapBytes              float64
	completed              float64
	logCalls, listCalls    float64
	// cpuSec and residentBytes come from /proc.
	cpuSec        float64
	residentBytes float64
}

// traffic identifies a counter of bytes.
type traffic struct{ path, cause string }

// takeSample reads the metrics of an instance and its figures in /proc.
func takeSample(in *testbed.Instance) (sample, error) {
	s := sample{at: time.Now(), bytes: make(map[traffic]float64)}
	proc, err := procfs.NewProc(in.PID())
	if err != nil {
		return s, trace.Wrap(err)
	}
	stat, err := proc.Stat()
	if err != nil {
		return s, trace.Wrap(err)
	}
	s.cpuSec, s.residentBytes = stat.CPUTime(), float64(stat.ResidentMemory())
	res, err := http.Get("http://" + in.Admin + "/metrics")
	if err != nil {
		return s, trace.Wrap(err)
	}
	defer res.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(res.Body)
	if err != nil {
		return s, trace.Wrap(err)
	}
	s.read(families)
	return s, nil
}

// read sets the fields of the sample from the metrics.
func (s *sample) read(families map[string]*dto.MetricFamily) {
	const nanosecond = 1e-9
	for name, f := range families {
		for _, m := range f.GetMetric() {
			v := m.GetCounter().GetValue() + m.GetGauge().GetValue()
			switch name {
			case "medlarhold_traffic_bytes_total":
				s.bytes[traffic{label(m, "path"), label(m, "cause")}] += v
			case "medlarhold_control_nanoseconds_total":
				s.controlSec = v * nanosecond
			case "medlarhold_request_nanoseconds_total":
				s.requestSec = v * nanosecond
			case "go_goroutines":
				s.goroutines = v
			case "go_memstats_heap_inuse_bytes":
				s.heapBytes = v
			case "medlarhold_goodput_requests_total":
				s.completed += v
			case "medlarhold_log_calls_total":
				s.logCalls += v
			case "medlarhold_list_calls_total":
				s.listCalls += v
			}
		}
	}
}

func label(m *dto.Metric, name string) string {
	for _, l := range m.GetLabel() {
		if l.GetName() == name {
			return strings.Clone(l.GetValue())
		}
	}
	return ""
}

// rates holds what one instance used per second between two samples, and its
// memory and goroutines at the later one.
type rates struct {
	bytes                  map[traffic]float64
	control                float64 // bytes of control per second, all paths
	request                float64 // bytes sent along with requests per second, all paths
	cpu                    float64 // share of a core
	controlCPU, requestCPU float64 // of the control goroutine, shares of a core
	completed              float64 // requests per second
	logCalls, listCalls    float64 // per second
	residentMB, heapMB     float64
	goroutines             float64
}

const megabyte = 1 << 20

// ratesBetween returns the rates from sample a to the later sample b.
func ratesBetween(a, b sample) rates {
	sec := b.at.Sub(a.at).Seconds()
	r := rates{
		bytes: make(map[traffic]float64), cpu: (b.cpuSec - a.cpuSec) / sec,
		controlCPU: (b.controlSec - a.controlSec) / sec, requestCPU: (b.requestSec - a.requestSec) / sec,
		completed: (b.completed - a.completed) / sec, logCalls: (b.logCalls - a.logCalls) / sec, listCalls: (b.listCalls - a.listCalls) / sec,
		residentMB: b.residentBytes / megabyte, heapMB: b.heapBytes / megabyte, goroutines: b.goroutines,
	}
	for t, v := range b.bytes {
		v = (v - a.bytes[t]) / sec
		r.bytes[t] = v
		if t.cause == "control" {
			r.control += v
		} else {
			r.request += v
		}
	}
	return r
}

// mean averages the rates of several instances and returns the largest control
// rate and the largest memory among them.
func mean(all []rates) (m rates, maxControl, maxResident float64) {
	m.bytes = make(map[traffic]float64)
	n := float64(len(all))
	for _, r := range all {
		for t, v := range r.bytes {
			m.bytes[t] += v / n
		}
		m.control += r.control / n
		m.request += r.request / n
		m.cpu += r.cpu / n
		m.controlCPU += r.controlCPU / n
		m.requestCPU += r.requestCPU / n
		m.completed += r.completed / n
		m.logCalls += r.logCalls / n
		m.listCalls += r.listCalls / n
		m.residentMB += r.residentMB / n
		m.heapMB += r.heapMB / n
		m.goroutines += r.goroutines / n
		maxControl, maxResident = max(maxControl, r.control), max(maxResident, r.residentMB)
	}
	return m, maxControl, maxResident
}
