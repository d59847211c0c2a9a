package operator

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"reflect"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"saffronbend/internal/call"
	"saffronbend/internal/disruption"
	"saffronbend/internal/drain"
	"saffronbend/internal/micros"
	"saffronbend/internal/operator/operatorpb"
	"saffronbend/internal/rebalance"
	"saffronbend/wire"
)

// fakeController implements DrainController and RebalancingController, and records the requests that it executes.
type fakeController struct {
	leaderAddr string
	isLeader   bool
	err        error // returned by every request

	startRequests []drain.Request
	newStates     []drain.State
	machineLimits []int // number of machines of each request for the rebalancing status
	statuses      []drain.Status
}

func (c *fakeController) Leader() (addr string, isLeader bool) { return c.leaderAddr, c.isLeader }

func (c *fakeController) StartDrain(_ context.Context, request drain.Request) (drain.Status, error) {
	c.startRequests = append(c.startRequests, request)
	return drain.Status{Name: request.Name, State: drain.Running}, c.err
}

func (c *fakeController) ChangeDrain(_ context.Context, name string, newState drain.State) (drain.Status, error) {
	c.newStates = append(c.newStates, newState)
	return drain.Status{Name: name, State: newState}, c.err
}

func (c *fakeController) ListDrains(context.Context, string) ([]drain.Status, error) {
	return c.statuses, c.err
}

func (c *fakeController) RebalancingStatus(_ context.Context, machines int) (rebalance.Status, error) {
	c.machineLimits = append(c.machineLimits, machines)
	return rebalance.Status{}, c.err
}

func (c *fakeController) PauseRebalancing(_ context.Context, paused bool) (rebalance.Status, error) {
	return rebalance.Status{Paused: paused}, c.err
}

// serveController serves both services of a controller until the test ends, and returns their address.
func serveController(t *testing.T, controller *fakeController) (addr string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dial := new(net.Dialer).DialContext
	mux := http.NewServeMux()
	mux.Handle(DrainHandler(controller, dial))
	mux.Handle(RebalancingHandler(controller, dial))
	server := &http.Server{Handler: mux, Protocols: call.UnencryptedHTTP2()}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		if err := server.Close(); err != nil {
			t.Error(err)
		}
		if err := <-served; !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	})
	return listener.Addr().String()
}

// pauseDrain sends a request to pause a drain to the controller at an address.
func pauseDrain(t *testing.T, addr string) (*operatorpb.DrainStatus, error) {
	t.Helper()
	client, closeIdle := NewDrainClient(new(net.Dialer).DialContext, addr)
	defer closeIdle()
	request := connect.NewRequest(&operatorpb.NamedDrainRequest{Name: "x"})
	response, err := client.PauseDrain(t.Context(), request)
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// requireUnavailable checks that an error has the code Unavailable and a retry delay.
func requireUnavailable(t *testing.T, err error) {
	t.Helper()
	if connect.CodeOf(err) != connect.CodeUnavailable {
		t.Errorf("error %v, want unavailable", err)
	}
	if wait, ok := RetryAfter(err); !ok || wait != 2*time.Second {
		t.Errorf("retry delay %v, set %v; want 2s", wait, ok)
	}
}

func TestLeaderServesRequests(t *testing.T) {
	leader := &fakeController{isLeader: true}
	status, err := pauseDrain(t, serveController(t, leader))
	if err != nil || status.Name != "x" || status.State != "paused" {
		t.Errorf("%v, %v", status, err)
	}
}

func TestFollowersForwardToLeader(t *testing.T) {
	leader := &fakeController{isLeader: true}
	follower := serveController(t, &fakeController{leaderAddr: serveController(t, leader)})
	status, err := pauseDrain(t, follower)
	if err != nil || status.State != "paused" || len(leader.newStates) != 1 {
		t.Errorf("%v, %v; the leader has executed %v", status, err, leader.newStates)
	}
	leader.err = fmt.Errorf("%w: it is cancelled", drain.ErrDrainEnded)
	_, err = pauseDrain(t, follower)
	var connectErr *connect.Error
	if !errors.As(err, &connectErr) || connectErr.Code() != connect.CodeFailedPrecondition ||
		connectErr.Message() != "the drain is over: it is cancelled" {
		t.Errorf("error %v, want the leader's error", err)
	}
	leader.err = ErrUnavailable
	_, err = pauseDrain(t, follower)
	requireUnavailable(t, err)
}

func TestUnavailableWithoutLeader(t *testing.T) {
	t.Run("no leader is known", func(t *testing.T) {
		_, err := pauseDrain(t, serveController(t, &fakeController{}))
		requireUnavailable(t, err)
	})
	t.Run("the leader can't be reached", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addr := listener.Addr().String()
		if err := listener.Close(); err != nil {
			t.Fatal(err)
		}
		_, err = pauseDrain(t, serveController(t, &fakeController{leaderAddr: addr}))
		requireUnavailable(t, err)
	})
	t.Run("the presumed leader is a follower", func(t *testing.T) {
		thirdController := &fakeController{isLeader: true}
		secondController := &fakeController{leaderAddr: serveController(t, thirdController)}
		_, err := pauseDrain(t, serveController(t, &fakeController{leaderAddr: serveController(t, secondController)}))
		requireUnavailable(t, err)
		if len(thirdController.newStates) != 0 {
			t.Error("a request was forwarded twice")
		}
	})
}

func TestErrorCodes(t *testing.T) {
	for want, errs := range map[connect.Code][]error{
		connect.CodeUnavailable:        {ErrUnavailable, errors.New("not listed")},
		connect.CodeFailedPrecondition: {ErrDrainsDisabled, ErrRebalancingDisabled, drain.ErrDrainEnded},
		connect.CodeNotFound: {drain.ErrUnknownDrain, drain.ErrUnknownMachine, drain.ErrUnknownTeam,
			drain.ErrNoMatch},
		connect.CodeAlreadyExists:     {drain.ErrNameInUse},
		connect.CodeResourceExhausted: {drain.ErrTooManyDrains},
		connect.CodeInvalidArgument: {drain.ErrInvalidName, drain.ErrNoSelection, drain.ErrNegativeDuration,
			errStepTooLarge, disruption.ErrInvalidBudget},
	} {
		for _, err := range errs {
			t.Run(err.Error(), func(t *testing.T) {
				encoded := toConnectError(fmt.Errorf("wrapped: %w", err))
				if encoded.Code() != want {
					t.Errorf("code %v, want %v", encoded.Code(), want)
				}
				_, retry := RetryAfter(encoded)
				if unavailable := want == connect.CodeUnavailable; retry != unavailable {
					t.Errorf("retry delay is set: %v, want %v", retry, unavailable)
				}
			})
		}
	}
	if _, ok := RetryAfter(errors.New("not a service error")); ok {
		t.Error("an error without the header has a retry delay")
	}
}

func TestDecodeStartDrain(t *testing.T) {
	for _, test := range []struct {
		name    string
		message *operatorpb.StartDrainRequest
		err     error
	}{
		{name: "seconds", message: &operatorpb.StartDrainRequest{DeadlineS: 1.5, OlderThanS: 60, Step: drain.MaxStep}},
		{name: "a step too large", message: &operatorpb.StartDrainRequest{Step: drain.MaxStep + 1}, err: errStepTooLarge},
		{name: "NaN as deadline", message: &operatorpb.StartDrainRequest{DeadlineS: math.NaN()},
			err: drain.ErrNegativeDuration},
		{name: "NaN as age", message: &operatorpb.StartDrainRequest{OlderThanS: math.NaN()},
			err: drain.ErrNegativeDuration},
	} {
		t.Run(test.name, func(t *testing.T) {
			request, err := decodeStartDrain(test.message)
			if !errors.Is(err, test.err) {
				t.Fatalf("error %v, want %v", err, test.err)
			}
			if err == nil && (request.Deadline != 1500*micros.Millisecond || request.OlderThan != micros.Minute) {
				t.Errorf("%+v", request)
			}
		})
	}
}

func TestDrainRequests(t *testing.T) {
	leader := &fakeController{isLeader: true, statuses: []drain.Status{{
		Name: "x", State: drain.Running, Machines: 5, Gone: 1, Emptying: 2, TasksLeft: 7, Overdue: true,
		Blocked: []drain.BlockedEviction{{Machine: "n-1", Team: "red", Task: "run-1/0", Reason: "it ends soon"}},
		Budgets: []drain.TeamBudget{{Team: "red", Disrupted: 3, Allowed: 4}},
	}}}
	client, closeIdle := NewDrainClient(new(net.Dialer).DialContext, serveController(t, leader))
	defer closeIdle()
	budgets := map[string]string{"red": "4"}
	start := connect.NewRequest(&operatorpb.StartDrainRequest{Name: "x", Zone: "a", Budgets: budgets})
	if _, err := client.StartDrain(t.Context(), start); err != nil {
		t.Fatal(err)
	}
	want := []drain.Request{{Name: "x", Zone: "a", Budgets: map[wire.TeamName]string{"red": "4"}}}
	if !reflect.DeepEqual(leader.startRequests, want) {
		t.Errorf("started %+v, want %+v", leader.startRequests, want)
	}
	response, err := client.GetDrains(t.Context(), connect.NewRequest(&operatorpb.GetDrainsRequest{}))
	if err != nil {
		t.Fatal(err)
	}
	wantMessage := &operatorpb.DrainStatus{
		Name: "x", State: "running", Machines: 5, Gone: 1, Emptying: 2, TasksLeft: 7, Overdue: true,
		Blocked: []*operatorpb.BlockedMachine{{Machine: "n-1", Team: "red", Task: "run-1/0", Reason: "it ends soon"}},
		Budgets: []*operatorpb.TeamBudget{{Team: "red", Disturbed: 3, Allowed: 4}},
	}
	if got := response.Msg.Drains; len(got) != 1 || !proto.Equal(got[0], wantMessage) {
		t.Errorf("%v, want %v", got, wantMessage)
	}
}

func TestRebalancingRequests(t *testing.T) {
	leader := &fakeController{isLeader: true}
	client, closeIdle := NewRebalancingClient(new(net.Dialer).DialContext, serveController(t, leader))
	defer closeIdle()
	for _, machines := range []uint32{0, 5, 1 << 31} {
		request := connect.NewRequest(&operatorpb.GetSpreadRequest{Machines: machines})
		if _, err := client.GetSpread(t.Context(), request); err != nil {
			t.Fatal(err)
		}
	}
	if want := []int{defaultListedMachines, 5, maxListedMachines}; fmt.Sprint(leader.machineLimits) != fmt.Sprint(want) {
		t.Errorf("machines %v, want %v", leader.machineLimits, want)
	}
	paused, err := client.PauseSpread(t.Context(), connect.NewRequest(&operatorpb.ChangeSpreadRequest{}))
	if err != nil || !paused.Msg.Paused {
		t.Errorf("pause: %v, %v", paused, err)
	}
	resumed, err := client.ResumeSpread(t.Context(), connect.NewRequest(&operatorpb.ChangeSpreadRequest{}))
	if err != nil || resumed.Msg.Paused {
		t.Errorf("resume: %v, %v", resumed, err)
	}
}
