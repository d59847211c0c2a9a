// Package metrics counts what a controller decides about worker leases, commands and leadership, and serves the counts
// to monitoring systems in the Prometheus text format. The controller's services report their decisions from any
// goroutine; the package makes none. All methods of a nil *Metrics do nothing, so tests need no metrics.
package metrics

import (
	"math"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// Path is the path at which the metrics are served.
const Path = "/metrics"

// Role says on which authority a controller responds to a worker's heartbeat.
type Role string

// The roles.
const (
	Leader       Role = "leader"        // it leads
	LeaseRenewer Role = "lease_renewer" // it follows, and renews worker leases on the leader's behalf
)

// Outcome is the outcome of a worker's heartbeat.
type Outcome string

// The outcomes of a heartbeat.
const (
	Renewed           Outcome = "renewed"             // the response renews the worker's lease
	RefusedLateLaunch Outcome = "refused_late_launch" // a launch of a cancelled job may arrive, too late to stop it
	RefusedStale      Outcome = "refused_stale"       // cancellations are not known up to a recent time
	Refused           Outcome = "refused"             // any other reason, for example a higher fencing token
)

// Metrics holds the metrics of one controller. It is safe for concurrent use.
type Metrics struct {
	registry           *prometheus.Registry
	leading            prometheus.Gauge
	fencingToken       prometheus.Gauge
	cancellationsKnown prometheus.Gauge
	heartbeats         *prometheus.CounterVec
	commands           *prometheus.CounterVec
	lateLaunches       prometheus.Counter
}

// New returns metrics that count from zero.
func New() *Metrics {
	const (
		namespace    = "saffronbend"
		labelRole    = "role"
		labelOutcome = "outcome"
		labelCommand = "command"
	)
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
	}
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	}
	metrics := &Metrics{
		registry:     prometheus.NewRegistry(),
		leading:      gauge("leading", "1 if this controller leads, otherwise 0."),
		fencingToken: gauge("fencing_token", "Fencing token of the term that this controller leads or follows."),
		cancellationsKnown: gauge("cancellations_known_age_seconds",
			"Age of the time up to which this leader knows all cancellations, NaN if it does not lead."),
		heartbeats: counter("heartbeats_total", "Heartbeats of workers, by the outcome for the worker's lease.",
			labelRole, labelOutcome),
		commands: counter("commands_total", "Commands sent to workers.", labelRole, labelCommand),
		lateLaunches: prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "late_launches_total",
			Help: "Attempts of cancelled jobs that a lease renewer launched and stopped in one response."}),
	}
	metrics.registry.MustRegister(metrics.leading, metrics.fencingToken, metrics.cancellationsKnown, metrics.heartbeats,
		metrics.commands, metrics.lateLaunches)
	metrics.RoleChanged(false, 0)
	return metrics
}

// Handler serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// RoleChanged records whether this controller leads, and the fencing token of the term that it leads or follows, 0 if
// there is none.
func (m *Metrics) RoleChanged(leading bool, token wire.FencingToken) {
	if m == nil {
		return
	}
	m.leading.Set(0)
	if leading {
		m.leading.Set(1)
	}
	m.cancellationsKnown.Set(math.NaN())
	m.fencingToken.Set(float64(token))
}

// CancellationsKnown records how long ago the time was up to which the leader knows all cancellations.
func (m *Metrics) CancellationsKnown(age micros.Duration) {
	if m != nil {
		m.cancellationsKnown.Set(age.Seconds())
	}
}

// Heartbeat counts a worker's heartbeat by its outcome.
func (m *Metrics) Heartbeat(role Role, outcome Outcome) {
	if m != nil {
		m.heartbeats.WithLabelValues(string(role), string(outcome)).Inc()
	}
}

// CommandsSent counts commands that were sent to a worker.
func (m *Metrics) CommandsSent(role Role, commands []wire.Command) {
	if m == nil {
		return
	}
	for _, command := range commands {
		m.commands.WithLabelValues(string(role), string(command.Op)).Inc()
	}
}

// LateLaunch counts an attempt that a lease renewer launches and stops in one response, so that a late launch of it
// starts nothing.
func (m *Metrics) LateLaunch() {
	if m != nil {
		m.lateLaunches.Inc()
	}
}
