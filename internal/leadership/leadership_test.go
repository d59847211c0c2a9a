package leadership

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"saffronbend/internal/election"
	"saffronbend/internal/follower"
	"saffronbend/internal/health"
	"saffronbend/internal/micros"
	"saffronbend/internal/peer"
	"saffronbend/internal/settings"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

func TestOutcomeOfStoreErrors(t *testing.T) {
	cases := map[string]struct {
		err  error
		want election.Outcome
	}{
		"executed":          {nil, election.Succeeded},
		"another version":   {fmt.Errorf("claim: %w", &state.ConflictError{}), election.Conflict},
		"lease expired":     {fmt.Errorf("renew: %w", state.ErrLeaseExpired), election.LeaseExpired},
		"store unavailable": {state.ErrUnavailable, election.OutcomeUnknown},
		"no response":       {errors.New("connection reset"), election.OutcomeUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := outcome(c.err); got != c.want {
				t.Errorf("outcome(%v) = %v, want %v", c.err, got, c.want)
			}
		})
	}
}

// fakeStore is a store whose leader's key never changes.
type fakeStore struct {
	Store
	leader wire.KeyValue
}

func (s *fakeStore) List(context.Context, string) ([]wire.KeyValue, uint64, error) {
	return []wire.KeyValue{s.leader}, s.leader.Version, nil
}

func (s *fakeStore) Watch(
	ctx context.Context, _ string, _ uint64, _ time.Duration,
) (*wire.WatchResponse, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// fakeLimits records the arguments of SetLeading.
type fakeLimits struct{ calls []bool }

func (l *fakeLimits) SetLeading(leading bool) { l.calls = append(l.calls, leading) }

// newTestDriver returns the driver of controller c1, whose only peer is c2, with a store whose leader's key names the
// given leader.
func newTestDriver(t *testing.T, leader string, limits RateLimits) *Driver {
	t.Helper()
	value, err := json.Marshal(state.LeaderRecord{Member: leader})
	if err != nil {
		t.Fatal(err)
	}
	cfg := &settings.Settings{Member: "c1", Peers: []settings.Peer{{Member: "c2", Addr: "10.0.0.2:8081"}}}
	clock := micros.NewClock()
	log := slog.New(slog.DiscardHandler)
	monitor := health.NewMonitor(clock)
	store := &fakeStore{leader: wire.KeyValue{Key: state.LeaderKey, Value: value, Version: 7}}
	return New(Config{
		Settings: cfg, LeaseTTL: 5 * micros.Second, Log: log, Clock: clock, Store: store, Health: monitor, Limits: limits,
		Follower: follower.Config{Settings: cfg, Log: log, Clock: clock, Health: monitor, Dial: failDial},
	})
}

func failDial(context.Context, string, string) (conn net.Conn, err error) {
	return nil, errors.New("host unreachable")
}

func TestRunFollowsLeaderInKey(t *testing.T) {
	cases := map[string]struct {
		leader  string
		follows bool
	}{
		"the key names a peer":             {"c2", true},
		"the key names an unknown member":  {"c9", false},
		"the key's record names no member": {"", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				limits := &fakeLimits{}
				driver := newTestDriver(t, c.leader, limits)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				driver.Run(ctx)
				role := driver.Role()
				if role.Leader != c.leader || role.Term != nil || (role.Follower != nil) != c.follows {
					t.Errorf("the role is %+v; want leader %q, with a follower: %v", role, c.leader, c.follows)
				}
			})
		})
	}
}

func TestAnnouncedLeaderReplacesKnownLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := &fakeLimits{}
		driver := newTestDriver(t, "c9", limits)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			driver.Run(ctx)
		}()
		time.Sleep(time.Second)
		driver.LeaderAnnounced(ctx, peer.Announcement{Member: "c2", FencingToken: 6}) // announcement of an earlier term
		time.Sleep(time.Second)
		if role := driver.Role(); role.Leader != "c9" {
			t.Errorf("the leader is %q after an announcement with a lower token, want c9", role.Leader)
		}
		driver.LeaderAnnounced(ctx, peer.Announcement{Member: "c2", FencingToken: 8})
		time.Sleep(time.Second)
		if role := driver.Role(); role.Leader != "c2" || role.Follower == nil {
			t.Errorf("the role is %+v after an announcement with a higher token, want a follower of c2", role)
		}
		cancel()
		<-ended
		for _, leading := range limits.calls {
			if leading {
				t.Error("the rate limits of a leader were set on a controller that never led")
			}
		}
	})
}
