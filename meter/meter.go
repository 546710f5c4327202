// Package meter holds a daemon's counters, written by VictoriaMetrics/metrics.
package meter

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"chestnutlatch/fault"
	"chestnutlatch/ident"
)

// Meter counts what a daemon does. It is safe for concurrent use.
type Meter struct {
	set *metrics.Set
	// Served counts the answers passed to callers.
	Served *metrics.Counter
	// Retries counts the further attempts at idempotent requests.
	Retries *metrics.Counter
	// Relayed counts the requests sent through another daemon.
	Relayed *metrics.Counter
	// Replayed counts the one-time actions answered from memory.
	Replayed *metrics.Counter
	// Dropped counts the inner answers that matched no open request.
	Dropped *metrics.Counter
	// Draws counts the draws of rate tokens, DrawsFailed those without answer.
	Draws       *metrics.Counter
	DrawsFailed *metrics.Counter
	// DatagramsIn, DatagramsOut and BytesOut count the membership's traffic.
	DatagramsIn  *metrics.Counter
	DatagramsOut *metrics.Counter
	BytesOut     *metrics.Counter
	// BadBeats counts the heartbeats, BadDocuments the configurations that
	// could not be read.
	BadBeats     *metrics.Counter
	BadDocuments *metrics.Counter
	// Duration is the time of a request at the entry, in seconds.
	Duration *metrics.Histogram
	// QueueWait is the time that a request waited for a slot, TargetTime that
	// for which its target had it, in seconds.
	QueueWait  *metrics.Histogram
	TargetTime *metrics.Histogram
}

// New returns a meter with all counters at zero.
func New() *Meter {
	s := metrics.NewSet()
	return &Meter{
		set:          s,
		Served:       s.NewCounter("chestnutlatch_served_total"),
		Retries:      s.NewCounter("chestnutlatch_retries_total"),
		Relayed:      s.NewCounter("chestnutlatch_relayed_total"),
		Replayed:     s.NewCounter("chestnutlatch_replayed_total"),
		Dropped:      s.NewCounter("chestnutlatch_dropped_answers_total"),
		Draws:        s.NewCounter("chestnutlatch_rate_draws_total"),
		DrawsFailed:  s.NewCounter("chestnutlatch_rate_draws_failed_total"),
		DatagramsIn:  s.NewCounter("chestnutlatch_member_datagrams_in_total"),
		DatagramsOut: s.NewCounter("chestnutlatch_member_datagrams_out_total"),
		BytesOut:     s.NewCounter("chestnutlatch_member_bytes_out_total"),
		BadBeats:     s.NewCounter("chestnutlatch_heartbeats_refused_total"),
		BadDocuments: s.NewCounter("chestnutlatch_configurations_refused_total"),
		Duration:     s.NewHistogram("chestnutlatch_request_duration_seconds"),
		QueueWait:    s.NewHistogram("chestnutlatch_queue_wait_seconds"),
		TargetTime:   s.NewHistogram("chestnutlatch_target_time_seconds"),
	}
}

// Ways in which a request ends, besides the outcomes of refusals.
const (
	// EndServed is a target's whole answer, EndFailed one with a server error.
	EndServed = "served"
	EndFailed = "failed"
)

// RouteKind is what a route allows with a request.
type RouteKind string

// Kinds of routes.
const (
	RouteOneTime    RouteKind = "one_time"
	RouteIdempotent RouteKind = "idempotent"
	// RouteCall is open to all: calls that targets make themselves.
	RouteCall RouteKind = "call"
)

// Ended counts a request by its route's kind and its end.
func (m *Meter) Ended(k RouteKind, end string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`chestnutlatch_requests_total{kind=%q,end=%q}`, k, end)).Inc()
}

// ShareEnd is how a request fared at its team's share of the rate.
type ShareEnd string

// Ends at a share.
const (
	ShareAdmitted ShareEnd = "admitted"
	// ShareEmpty is a refusal by an empty bucket.
	ShareEmpty ShareEnd = "empty"
	// ShareContended is a refusal by a bucket that is left to requests which
	// other daemons decide on at the same time.
	ShareContended ShareEnd = "contended"
)

// ShareEndOf names a decision by the bucket's level before it, in requests.
func ShareEndOf(ok bool, level float64) ShareEnd {
	switch {
	case ok:
		return ShareAdmitted
	case level < 1:
		return ShareEmpty
	default:
		return ShareContended
	}
}

// ShareDecided counts a request that its team's share decided on.
func (m *Meter) ShareDecided(end ShareEnd) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`chestnutlatch_rate_decisions_total{end=%q}`, end)).Inc()
}

// Refused counts a refusal by kind and outcome.
func (m *Meter) Refused(r *fault.Refusal) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`chestnutlatch_refused_total{kind=%q,outcome=%q}`, r.Kind, r.Outcome)).Inc()
}

// TargetMoved counts a target's change of state.
func (m *Meter) TargetMoved(to ident.TargetState) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`chestnutlatch_target_moves_total{to=%q}`, to)).Inc()
}

// StoreCall counts a call to the store by its purpose and its end.
func (m *Meter) StoreCall(purpose, result string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`chestnutlatch_store_calls_total{purpose=%q,result=%q}`, purpose, result)).Inc()
}

// Gauge registers a value that is read when the metrics are written.
func (m *Meter) Gauge(name string, read func() float64) {
	m.set.NewGauge(name, read)
}

// Write writes all metrics in the customary text form.
func (m *Meter) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
