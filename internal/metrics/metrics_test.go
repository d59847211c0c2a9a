package metrics

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"saffronbend/internal/micros"
	"saffronbend/wire"
)

func TestHandlerServesCounts(t *testing.T) {
	metrics := New()
	metrics.RoleChanged(true, 7)
	metrics.CancellationsKnown(1500 * micros.Millisecond)
	metrics.Heartbeat(Leader, Renewed)
	metrics.Heartbeat(Leader, Renewed)
	metrics.Heartbeat(LeaseRenewer, RefusedLateLaunch)
	metrics.CommandsSent(Leader, []wire.Command{wire.StopCommand("run-1/0", 1, 0)})
	metrics.LateLaunch()
	recorder := httptest.NewRecorder()
	metrics.Handler().ServeHTTP(recorder, httptest.NewRequestWithContext(t.Context(), http.MethodGet, Path, nil))
	for _, want := range []string{
		"saffronbend_leading 1\n",
		"saffronbend_fencing_token 7\n",
		"saffronbend_cancellations_known_age_seconds 1.5\n",
		`saffronbend_heartbeats_total{outcome="renewed",role="leader"} 2`,
		`saffronbend_heartbeats_total{outcome="refused_late_launch",role="lease_renewer"} 1`,
		`saffronbend_commands_total{command="stop",role="leader"} 1`,
		"saffronbend_late_launches_total 1\n",
	} {
		if !strings.Contains(recorder.Body.String(), want) {
			t.Errorf("the metrics lack %q:\n%s", want, recorder.Body)
		}
	}
	metrics.RoleChanged(false, 0)
	recorder = httptest.NewRecorder()
	metrics.Handler().ServeHTTP(recorder, httptest.NewRequestWithContext(t.Context(), http.MethodGet, Path, nil))
	for _, want := range []string{"saffronbend_leading 0\n", "saffronbend_cancellations_known_age_seconds NaN\n"} {
		if !strings.Contains(recorder.Body.String(), want) {
			t.Errorf("the metrics lack %q after the term:\n%s", want, recorder.Body)
		}
	}
}

func TestNilMetricsCountNothing(*testing.T) {
	var metrics *Metrics
	metrics.RoleChanged(true, 7)
	metrics.CancellationsKnown(0)
	metrics.Heartbeat(Leader, Renewed)
	metrics.CommandsSent(Leader, []wire.Command{{}})
	metrics.LateLaunch()
}
