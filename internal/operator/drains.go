package operator

import (
	"context"
	"errors"
	"math"
	"net/http"
	"strconv"

	"connectrpc.com/connect"

	"saffronbend/internal/call"
	"saffronbend/internal/drain"
	"saffronbend/internal/micros"
	"saffronbend/internal/operator/operatorpb"
	"saffronbend/internal/operator/operatorpb/operatorpbconnect"
)

var errStep = errors.New("a step has at most " + strconv.Itoa(drain.MaxStep) + " machines")

// DrainController carries out the operators' requests on the leader.
type DrainController interface {
	LeaderLocator
	StartDrain(ctx context.Context, r drain.Request) (drain.Status, error)
	ChangeDrain(ctx context.Context, name string, to drain.State) (drain.Status, error)
	// ListDrains gives the drain of a name, or all.
	ListDrains(ctx context.Context, name string) ([]drain.Status, error)
}

// drainService adapts Drains to the generated interface.
type drainService struct {
	forwarder[operatorpbconnect.DrainServiceClient]
	drains DrainController
}

// DrainHandler gives the path below which the service of drains is served, and its handler.
func DrainHandler(d DrainController, dial call.Dialer) (path string, h http.Handler) {
	s := &drainService{forwarder[operatorpbconnect.DrainServiceClient]{d, dial, NewDrainClient}, d}
	return operatorpbconnect.NewDrainServiceHandler(s, connect.WithReadMaxBytes(mostMessage))
}

// NewDrainClient makes a client for the service of drains on a cluster address.
func NewDrainClient(dial call.Dialer, addr string) (client operatorpbconnect.DrainServiceClient, closeIdle func()) {
	return newClient(operatorpbconnect.NewDrainServiceClient, dial, addr)
}

func (s *drainService) StartDrain(ctx context.Context, req *connect.Request[operatorpb.StartDrainRequest]) (*connect.Response[operatorpb.DrainStatus], error) {
	return serve(ctx, s.forwarder, req, func(ctx context.Context) (*operatorpb.DrainStatus, error) {
		r, err := decodeStart(req.Msg)
		if err != nil {
			return nil, err
		}
		return encodeOne(s.drains.StartDrain(ctx, r))
	}, operatorpbconnect.DrainServiceClient.StartDrain)
}

func decodeStart(m *operatorpb.StartDrainRequest) (drain.Request, error) {
	if m.Step > drain.MaxStep {
		return drain.Request{}, errStep
	}
	if math.IsNaN(m.DeadlineS) || math.IsNaN(m.OlderThanS) {
		return drain.Request{}, drain.ErrNegativeDuration
	}
	return drain.Request{Name: m.Name, Machines: m.Machines, Zone: m.Zone, Type: m.Type, OlderThan: micros.Seconds(m.OlderThanS), Step: int(m.Step),
		Deadline: micros.Seconds(m.DeadlineS), EvictAtDeadline: m.EvictAtDeadline, Budgets: m.Budgets}, nil
}

func (s *drainService) GetDrains(ctx context.Context, req *connect.Request[operatorpb.GetDrainsRequest]) (*connect.Response[operatorpb.GetDrainsResponse], error) {
	return serve(ctx, s.forwarder, req, func(ctx context.Context) (*operatorpb.GetDrainsResponse, error) {
		list, err := s.drains.ListDrains(ctx, req.Msg.Name)
		if err != nil {
			return nil, err
		}
		out := &operatorpb.GetDrainsResponse{}
		for _, st := range list {
			out.Drains = append(out.Drains, encodeStatus(st))
		}
		return out, nil
	}, operatorpbconnect.DrainServiceClient.GetDrains)
}

func (s *drainService) PauseDrain(ctx context.Context, req *connect.Request[operatorpb.NamedDrainRequest]) (*connect.Response[operatorpb.DrainStatus], error) {
	return serve(ctx, s.forwarder, req, s.change(req, drain.Paused), operatorpbconnect.DrainServiceClient.PauseDrain)
}

func (s *drainService) ResumeDrain(ctx context.Context, req *connect.Request[operatorpb.NamedDrainRequest]) (*connect.Response[operatorpb.DrainStatus], error) {
	return serve(ctx, s.forwarder, req, s.change(req, drain.Running), operatorpbconnect.DrainServiceClient.ResumeDrain)
}

func (s *drainService) CancelDrain(ctx context.Context, req *connect.Request[operatorpb.NamedDrainRequest]) (*connect.Response[operatorpb.DrainStatus], error) {
	return serve(ctx, s.forwarder, req, s.change(req, drain.Cancelled), operatorpbconnect.DrainServiceClient.CancelDrain)
}

func (s *drainService) change(req *connect.Request[operatorpb.NamedDrainRequest], to drain.State) func(context.Context) (*operatorpb.DrainStatus, error) {
	return func(ctx context.Context) (*operatorpb.DrainStatus, error) {
		return encodeOne(s.drains.ChangeDrain(ctx, req.Msg.Name, to))
	}
}

func encodeOne(st drain.Status, err error) (*operatorpb.DrainStatus, error) {
	if err != nil {
		return nil, err
	}
	return encodeStatus(st), nil
}

func encodeStatus(st drain.Status) *operatorpb.DrainStatus {
	out := &operatorpb.DrainStatus{Name: st.Name, State: string(st.State), Machines: uint32(st.Machines), Gone: uint32(st.Gone),
		Emptying: uint32(st.Emptying), TasksLeft: uint32(st.TasksLeft), Overdue: st.Overdue}
	for _, b := range st.Blocked {
		out.Blocked = append(out.Blocked, &operatorpb.BlockedMachine{Machine: b.Machine, Team: b.Team, Task: b.Task, Reason: b.Reason})
	}
	for _, b := range st.Budgets {
		out.Budgets = append(out.Budgets, &operatorpb.TeamBudget{Team: b.Team, Disturbed: uint32(b.Disrupted), Allowed: uint32(b.Allowed)})
	}
	return out
}
