// Package meter holds a daemon's metrics: counters, histograms and gauges. The
// daemon, its entry and its guard update them, and the operator's endpoint writes
// them in the Prometheus text format.
package meter

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"chestnutlatch/fault"
	"chestnutlatch/ident"
)

// Meter holds the metrics of one daemon. It is safe for concurrent use.
type Meter struct {
	set *metrics.Set
	// Served counts the answers that were passed to callers, and the refusals of
	// one-time actions that arrived without a ticket.
	Served *metrics.Counter
	// Retries counts the retries that were taken from a retry budget and, for
	// callers that send attempt IDs, reached or may have reached a target.
	Retries *metrics.Counter
	// Hedged counts the requests that were sent to a second target because the answer of
	// the first one was overdue.
	Hedged *metrics.Counter
	// Relayed counts the requests that were sent through another daemon.
	Relayed *metrics.Counter
	// Replayed counts the one-time actions that were answered with the kept
	// answer of an earlier run.
	Replayed *metrics.Counter
	// Dropped counts the inner replies that did not match their request, and
	// the local state broadcasts that could not be decoded.
	Dropped *metrics.Counter
	// Draws counts the draws of rate tokens, and DrawsFailed those that
	// returned no grant.
	Draws       *metrics.Counter
	DrawsFailed *metrics.Counter
	// DatagramsIn, DatagramsOut and BytesOut count the UDP traffic of the
	// membership protocol and of local state broadcasts.
	DatagramsIn  *metrics.Counter
	DatagramsOut *metrics.Counter
	BytesOut     *metrics.Counter
	// OutOfRegions counts the requests that were not sent to a peer outside their
	// allowed regions.
	OutOfRegions *metrics.Counter
	// BadHeartbeats counts the heartbeats that could not be decoded.
	BadHeartbeats *metrics.Counter
	// BadConfigs counts the configuration documents that could not be decoded
	// or were invalid.
	BadConfigs *metrics.Counter
	// Duration is the time that the entry spent on a request, in seconds.
	Duration *metrics.Histogram
	// QueueWait is the time that a request waited for a slot, and TargetTime
	// the time that its target took to process it, both in seconds.
	QueueWait  *metrics.Histogram
	TargetTime *metrics.Histogram
}

// New returns a Meter whose counters are zero.
func New() *Meter {
	s := metrics.NewSet()
	return &Meter{
		set:           s,
		Served:        s.NewCounter("chestnutlatch_served_total"),
		Retries:       s.NewCounter("chestnutlatch_retries_total"),
		Hedged:        s.NewCounter("chestnutlatch_hedged_total"),
		Relayed:       s.NewCounter("chestnutlatch_relayed_total"),
		Replayed:      s.NewCounter("chestnutlatch_replayed_total"),
		Dropped:       s.NewCounter("chestnutlatch_dropped_answers_total"),
		Draws:         s.NewCounter("chestnutlatch_rate_draws_total"),
		DrawsFailed:   s.NewCounter("chestnutlatch_rate_draws_failed_total"),
		DatagramsIn:   s.NewCounter("chestnutlatch_member_datagrams_in_total"),
		DatagramsOut:  s.NewCounter("chestnutlatch_member_datagrams_out_total"),
		BytesOut:      s.NewCounter("chestnutlatch_member_bytes_out_total"),
		OutOfRegions:  s.NewCounter("chestnutlatch_outside_regions_total"),
		BadHeartbeats: s.NewCounter("chestnutlatch_heartbeats_refused_total"),
		BadConfigs:    s.NewCounter("chestnutlatch_configurations_refused_total"),
		Duration:      s.NewHistogram("chestnutlatch_request_duration_seconds"),
		QueueWait:     s.NewHistogram("chestnutlatch_queue_wait_seconds"),
		TargetTime:    s.NewHistogram("chestnutlatch_target_time_seconds"),
	}
}

// Values of the end label for requests that were not refused. A refused request
// has the text of its outcome.
const (
	// EndServed is a complete answer with a status below 500, EndFailed one
	// with a status of 500 or more.
	EndServed = "served"
	EndFailed = "failed"
)

// RouteKind classifies routes by the requests that they accept.
type RouteKind string

// Kinds of routes.
const (
	// RouteOneTime is a route for actions that must not run twice.
	RouteOneTime RouteKind = "one_time"
	// RouteIdempotent is a route for requests that can be retried.
	RouteIdempotent RouteKind = "idempotent"
	// RouteCall is a route that is open to all, for calls that targets make.
	RouteCall RouteKind = "call"
)

// CountRequest counts a request by the kind of its route and its end: EndServed,
// EndFailed or the text of an ident.Outcome.
func (m *Meter) CountRequest(k RouteKind, end string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`chestnutlatch_requests_total{kind=%q,end=%q}`, k, end)).Inc()
}

// CountBody counts a request body that was refused or given up, by the reason.
func (m *Meter) CountBody(end, reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`chestnutlatch_bodies_total{end=%q,reason=%q}`, end, reason)).Inc()
}

// ShareResult is the result of checking a request against this data centre's share
// of its team's rate.
type ShareResult string

// Results of a share check.
const (
	// ShareAdmitted means that the request was admitted.
	ShareAdmitted ShareResult = "admitted"
	// ShareEmpty means that the request was refused because the bucket held
	// less than one request.
	ShareEmpty ShareResult = "empty"
	// ShareContended means that the request was refused because the bucket's
	// tokens are left to competing requests: those that other daemons admit at
	// the same time.
	ShareContended ShareResult = "contended"
)

// ShareResultOf returns the result of a decision: ok is whether the request was
// admitted, and level is the bucket's level before the decision, in requests.
func ShareResultOf(ok bool, level float64) ShareResult {
	switch {
	case ok:
		return ShareAdmitted
	case level < 1:
		return ShareEmpty
	default:
		return ShareContended
	}
}

// CountShareDecision counts a request by the result of its share check.
func (m *Meter) CountShareDecision(result ShareResult) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`chestnutlatch_rate_decisions_total{end=%q}`, result)).Inc()
}

// CountRefusal counts a refusal by its kind and outcome.
func (m *Meter) CountRefusal(r *fault.Refusal) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`chestnutlatch_refused_total{kind=%q,outcome=%q}`, r.Kind, r.Outcome)).Inc()
}

// CountStateChange counts a target's state change by the new state.
func (m *Meter) CountStateChange(to ident.TargetState) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`chestnutlatch_target_moves_total{to=%q}`, to)).Inc()
}

// CountStoreCall counts a call to the store by its purpose and result.
func (m *Meter) CountStoreCall(purpose, result string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`chestnutlatch_store_calls_total{purpose=%q,result=%q}`, purpose, result)).Inc()
}

// CountStoreRequest counts a request that was sent to the store by its operation. The
// requests of a watch and the pages of a listing count one each.
func (m *Meter) CountStoreRequest(op string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`chestnutlatch_store_requests_total{op=%q}`, op)).Inc()
}

// Gauge registers a gauge. Write calls read to get its value. It panics if
// name is invalid or already registered.
func (m *Meter) Gauge(name string, read func() float64) {
	m.set.NewGauge(name, read)
}

// Write writes the daemon's metrics and those of its process in the Prometheus
// text format.
func (m *Meter) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
