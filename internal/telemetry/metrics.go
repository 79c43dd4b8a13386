package telemetry

import (
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/medlarhold/medlarhold/internal/verdict"
)

// Parameters of the exponentially decaying samples of histograms. The sample is
// large enough for a stable p99 and small enough to keep in memory.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Metrics is the set of metrics of one instance. It is safe for concurrent use.
// Registered names may include labels in the Prometheus form:
// name{label="value"}.
type Metrics struct {
	registry metrics.Registry

	// WastedPrefillTokens counts prompt tokens that engines processed although an
	// engine already had them in its cache, or for requests whose result was
	// discarded.
	WastedPrefillTokens metrics.Counter
	// PrefillTokens counts all prompt tokens that engines processed.
	PrefillTokens metrics.Counter
	// GeneratedTokens counts the answer tokens received from engines.
	GeneratedTokens metrics.Counter
	// PeerControl and PeerRequest count the bytes between instances, by cause.
	PeerControl, PeerRequest Traffic
	// PlatformControl and PlatformRequest count the bytes to and from the
	// platform, by cause. Only the claims of idempotency keys count as caused by
	// requests there.
	PlatformControl, PlatformRequest Traffic
	// PollControl and PollRequest count the bytes of polling endpoints for load
	// and cache events: endpoints that run no requests, and those that do.
	PollControl, PollRequest Traffic
	// ControlNanoseconds is the time that the control goroutine spent on work that
	// no request caused. Instances that serve transparent routes count all the time
	// of that goroutine here.
	ControlNanoseconds metrics.Counter
	// RequestNanoseconds is the time that the control goroutine spent on requests.
	RequestNanoseconds metrics.Counter
	// PeerReconnects counts the connections to peers that this instance opened,
	// first ones included.
	PeerReconnects metrics.Counter
	// InFlight is the number of requests that have no final answer yet.
	InFlight metrics.Gauge
	// Queued is the number of reservations that wait in the queues of this
	// instance as an owner.
	Queued metrics.Gauge
	// ConfigRevision is the revision of the configuration in force.
	ConfigRevision metrics.Gauge
	// Members is the number of live instances in the zone.
	Members metrics.Gauge
	// FirstTokenMillis is the time until callers get the first token, and
	// TokenGapMicros the time between two tokens of a stream.
	FirstTokenMillis, TokenGapMicros metrics.Histogram
	// AnswerMillis is the time until callers of transparent routes get the end of
	// an answer.
	AnswerMillis metrics.Histogram
}

// NewMetrics returns the metrics of one instance in a registry of their own.
func NewMetrics() *Metrics {
	r := metrics.NewRegistry()
	return &Metrics{
		registry:            r,
		WastedPrefillTokens: metrics.GetOrRegisterCounter("medlarhold_wasted_prefill_tokens_total", r),
		PrefillTokens:       metrics.GetOrRegisterCounter("medlarhold_prefill_tokens_total", r),
		GeneratedTokens:     metrics.GetOrRegisterCounter("medlarhold_generated_tokens_total", r),
		PeerControl:         newTraffic(r, "peer", CauseControl),
		PeerRequest:         newTraffic(r, "peer", CauseRequest),
		PlatformControl:     newTraffic(r, "platform", CauseControl),
		PlatformRequest:     newTraffic(r, "platform", CauseRequest),
		PollControl:         newTraffic(r, "poll", CauseControl),
		PollRequest:         newTraffic(r, "poll", CauseRequest),
		ControlNanoseconds:  metrics.GetOrRegisterCounter("medlarhold_control_nanoseconds_total", r),
		RequestNanoseconds:  metrics.GetOrRegisterCounter("medlarhold_request_nanoseconds_total", r),
		PeerReconnects:      metrics.GetOrRegisterCounter("medlarhold_peer_reconnects_total", r),
		InFlight:            metrics.GetOrRegisterGauge("medlarhold_requests_in_flight", r),
		Queued:              metrics.GetOrRegisterGauge("medlarhold_reservations_queued", r),
		ConfigRevision:      metrics.GetOrRegisterGauge("medlarhold_config_revision", r),
		Members:             metrics.GetOrRegisterGauge("medlarhold_zone_members", r),
		FirstTokenMillis:    metrics.GetOrRegisterHistogram("medlarhold_first_token_milliseconds", r, metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
		AnswerMillis:        metrics.GetOrRegisterHistogram("medlarhold_answer_milliseconds", r, metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
		TokenGapMicros:      metrics.GetOrRegisterHistogram("medlarhold_token_gap_microseconds", r, metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
	}
}

// Registry returns the registry of the metrics, in which other packages register
// metrics of their own.
func (m *Metrics) Registry() metrics.Registry { return m.registry }

// LogCall counts one append to or read from a stream of the log service.
func (m *Metrics) LogCall(call, stream string) {
	m.counter(fmt.Sprintf(`medlarhold_log_calls_total{call=%q,stream=%q}`, call, stream)).Inc(1)
}

// ListCall counts one renewal or read of the platform's list of instances.
func (m *Metrics) ListCall(call string) {
	m.counter(fmt.Sprintf(`medlarhold_list_calls_total{call=%q}`, call)).Inc(1)
}

// PeerMessage counts one message that is sent to another instance, by its name on the wire.
func (m *Metrics) PeerMessage(kind string) {
	m.counter(fmt.Sprintf(`medlarhold_peer_messages_total{kind=%q}`, kind)).Inc(1)
}

// Polled counts one poll of an endpoint: CauseRequest if the endpoint runs
// requests, CauseControl if not.
func (m *Metrics) Polled(cause Cause) {
	m.counter(fmt.Sprintf(`medlarhold_endpoint_polls_total{cause=%q}`, cause)).Inc(1)
}

// Refused counts one refusal under its reason and verdict.
func (m *Metrics) Refused(reason verdict.Reason, v verdict.Verdict) {
	m.counter(fmt.Sprintf(`medlarhold_refusals_total{reason=%q,verdict=%q}`, reason, v)).Inc(1)
}

// Retried counts one retry of a request under its reason.
func (m *Metrics) Retried(reason verdict.Reason) {
	m.counter(fmt.Sprintf(`medlarhold_retries_total{reason=%q}`, reason)).Inc(1)
}

// Completed counts one complete answer and its tokens towards the goodput of a
// tier.
func (m *Metrics) Completed(tier string, tokens int64) {
	m.counter(fmt.Sprintf(`medlarhold_goodput_requests_total{tier=%q}`, tier)).Inc(1)
	m.counter(fmt.Sprintf(`medlarhold_goodput_tokens_total{tier=%q}`, tier)).Inc(tokens)
}

// Answered counts one endpoint response that was forwarded to a caller, by HTTP
// status, and records how long the caller waited for its end.
func (m *Metrics) Answered(status int, d time.Duration) {
	m.counter(fmt.Sprintf(`medlarhold_answers_total{status="%d"}`, status)).Inc(1)
	m.AnswerMillis.Update(d.Milliseconds())
}

// Dialled counts one connection that was opened to an endpoint.
func (m *Metrics) Dialled() { m.counter("medlarhold_endpoint_connections_total").Inc(1) }

// TunnelOpened counts one connection that was opened to an endpoint through another instance.
func (m *Metrics) TunnelOpened() { m.counter("medlarhold_endpoint_tunnels_total").Inc(1) }

// EndpointLimitExceeded counts one response of an endpoint that exceeded a limit.
func (m *Metrics) EndpointLimitExceeded(limit string) {
	m.counter(fmt.Sprintf(`medlarhold_endpoint_limits_exceeded_total{limit=%q}`, limit)).Inc(1)
}

// EndpointDeparted counts one endpoint that said in a response that it is going to stop.
func (m *Metrics) EndpointDeparted() { m.counter("medlarhold_endpoint_departures_total").Inc(1) }

// EndpointHeldOff counts one response by which an endpoint asked for no requests for a
// while.
func (m *Metrics) EndpointHeldOff() { m.counter("medlarhold_endpoint_holdoffs_total").Inc(1) }

// EndpointLimitStated counts one response that states a limit; readable is false if it is not
// a number.
func (m *Metrics) EndpointLimitStated(readable bool) {
	m.counter(fmt.Sprintf(`medlarhold_endpoint_limits_stated_total{readable="%t"}`, readable)).Inc(1)
}

// RolloutDispatched counts one dispatch during a roll-out, to its target or another version.
func (m *Metrics) RolloutDispatched(target bool) {
	m.counter(fmt.Sprintf(`medlarhold_rollout_dispatches_total{version=%q}`, rolloutVersion(target))).Inc(1)
}

// RolloutFailed counts one failed answer during a roll-out, of its target or another version.
func (m *Metrics) RolloutFailed(target bool) {
	m.counter(fmt.Sprintf(`medlarhold_rollout_failures_total{version=%q}`, rolloutVersion(target))).Inc(1)
}

func rolloutVersion(target bool) string {
	if target {
		return "target"
	}
	return "other"
}

// SlowdownUnreadable counts one response whose stated slowdown can't be read.
func (m *Metrics) SlowdownUnreadable() {
	m.counter("medlarhold_slowdowns_unreadable_total").Inc(1)
}

// LearnedLimitChanged counts one endpoint whose learned limit has come into force, or isn't any more.
func (m *Metrics) LearnedLimitChanged(inForce bool) {
	m.counter(fmt.Sprintf(`medlarhold_learned_limit_changes_total{in_force="%t"}`, inForce)).Inc(1)
}

// CallerLetGo counts one caller whose connection was closed because it read its answer too slowly.
func (m *Metrics) CallerLetGo(cause string) {
	m.counter(fmt.Sprintf(`medlarhold_callers_let_go_total{cause=%q}`, cause)).Inc(1)
}

// FirstToken records how long a caller waited for its first token.
func (m *Metrics) FirstToken(d time.Duration) { m.FirstTokenMillis.Update(d.Milliseconds()) }

// TokenGap records the time between two tokens of a stream.
func (m *Metrics) TokenGap(d time.Duration) { m.TokenGapMicros.Update(d.Microseconds()) }

func (m *Metrics) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, m.registry)
}
