package leader

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"saffronbend/internal/micros"
)

func TestRightsAreLoggedWhenTheyChange(t *testing.T) {
	var logged bytes.Buffer
	log := slog.New(slog.NewTextHandler(&logged, nil))
	var rights rightsLog
	resolvedAt := micros.KnownTimestamp(0)
	steps := []struct {
		mayLaunch, mayRenew bool
		now                 micros.Timestamp
		want                string // empty: nothing is logged
	}{
		{false, false, 0, ""},
		{true, true, 1000, `may_launch=true may_renew_worker_leases=true cancellations_known_until="1ms ago"`},
		{true, true, 2000, ""},
		{false, true, 3000, `may_launch=false may_renew_worker_leases=true cancellations_known_until="3ms ago"`},
		{false, false, 4000, `may_launch=false may_renew_worker_leases=false cancellations_known_until="4ms ago"`},
	}
	for _, step := range steps {
		logged.Reset()
		rights.record(log, step.mayLaunch, step.mayRenew, step.now, resolvedAt)
		if got := logged.String(); !strings.Contains(got, step.want) || (got != "") != (step.want != "") {
			t.Errorf("at %d logged %q, want %q", step.now, got, step.want)
		}
	}
}
