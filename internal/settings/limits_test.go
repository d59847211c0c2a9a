package settings

import "testing"

// An upcoming limit is effective immediately, but only if it is lower than the current one.
func TestEffectiveStoreLimits(t *testing.T) {
	const upcoming = "txn_ops = 8\n[deployment.state.next]\nvalue_kb = 2.0\nwrite_rps = 90.0\ntxn_ops = 4"
	s := parse(t, "", "txn_ops = 8", upcoming)
	got, want := s.Deployment.State.Effective(), StoreLimits{RPS: 200, WriteRPS: 50, ValueKB: 2, TxnOps: 4}
	if got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if s = parse(t, ""); s.Deployment.State.Effective() != s.Deployment.State {
		t.Errorf("without upcoming limits: %+v", s.Deployment.State.Effective())
	}
}
