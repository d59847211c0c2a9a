package operator

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"saffronbend/internal/call"
	"saffronbend/internal/operator/operatorpb"
	"saffronbend/internal/operator/operatorpb/operatorpbconnect"
	"saffronbend/internal/rebalance"
)

// defaultMachines is how many machines' loads are shown unless a request says otherwise, mostMachines how many at most: an
// answer has to fit into a message.
const defaultMachines, mostMachines = 20, 2000

// Rebalancing carries out the operators' requests about moves on the leader.
type RebalancingController interface {
	LeaderLocator
	// SpreadStatus shows the so many machines with the most load.
	RebalancingStatus(ctx context.Context, machines int) (rebalance.Status, error)
	// PauseSpread pauses moves or resumes them.
	PauseRebalancing(ctx context.Context, paused bool) (rebalance.Status, error)
}

// spreadService adapts Spread to the generated interface.
type spreadService struct {
	forwarder[operatorpbconnect.SpreadServiceClient]
	spread RebalancingController
}

// RebalancingHandler gives the path below which the service of moves is served, and its handler.
func RebalancingHandler(sp RebalancingController, dial call.Dialer) (path string, h http.Handler) {
	s := &spreadService{forwarder[operatorpbconnect.SpreadServiceClient]{sp, dial, NewRebalancingClient}, sp}
	return operatorpbconnect.NewSpreadServiceHandler(s, connect.WithReadMaxBytes(mostMessage))
}

// NewRebalancingClient makes a client for the service of moves on a cluster address.
func NewRebalancingClient(dial call.Dialer, addr string) (client operatorpbconnect.SpreadServiceClient, closeIdle func()) {
	return newClient(operatorpbconnect.NewSpreadServiceClient, dial, addr)
}

func (s *spreadService) GetSpread(ctx context.Context, req *connect.Request[operatorpb.GetSpreadRequest]) (*connect.Response[operatorpb.SpreadStatus], error) {
	return serve(ctx, s.forwarder, req, func(ctx context.Context) (*operatorpb.SpreadStatus, error) {
		machines := int(min(req.Msg.Machines, mostMachines))
		if machines == 0 {
			machines = defaultMachines
		}
		return encodeSpread(s.spread.RebalancingStatus(ctx, machines))
	}, operatorpbconnect.SpreadServiceClient.GetSpread)
}

func (s *spreadService) PauseSpread(ctx context.Context, req *connect.Request[operatorpb.ChangeSpreadRequest]) (*connect.Response[operatorpb.SpreadStatus], error) {
	return serve(ctx, s.forwarder, req, s.change(true), operatorpbconnect.SpreadServiceClient.PauseSpread)
}

func (s *spreadService) ResumeSpread(ctx context.Context, req *connect.Request[operatorpb.ChangeSpreadRequest]) (*connect.Response[operatorpb.SpreadStatus], error) {
	return serve(ctx, s.forwarder, req, s.change(false), operatorpbconnect.SpreadServiceClient.ResumeSpread)
}

func (s *spreadService) change(paused bool) func(context.Context) (*operatorpb.SpreadStatus, error) {
	return func(ctx context.Context) (*operatorpb.SpreadStatus, error) {
		return encodeSpread(s.spread.PauseRebalancing(ctx, paused))
	}
}

func encodeSpread(st rebalance.Status, err error) (*operatorpb.SpreadStatus, error) {
	if err != nil {
		return nil, err
	}
	out := &operatorpb.SpreadStatus{Paused: st.Paused, WaitsFor: st.IdleReason, KnownMachines: uint32(st.KnownMachines)}
	for _, m := range st.Machines {
		out.Machines = append(out.Machines, encodeMachineLoad(m))
	}
	for _, m := range st.Moves {
		out.Moves = append(out.Moves, &operatorpb.SpreadMove{AgoS: st.Now.Sub(m.At).Seconds(), Task: m.Task.String(), Team: m.Team, From: m.From, To: m.To,
			Relief: m.Relief, GainS: m.Gain.Seconds(), PriceS: m.Cost.Seconds()})
	}
	for _, h := range st.HeldTasks {
		out.Held = append(out.Held, &operatorpb.HeldTask{Machine: h.Machine, Team: h.Team, Task: h.Task, Reason: h.Reason})
	}
	return out, nil
}

func encodeMachineLoad(m rebalance.MachineLoad) *operatorpb.MachineLoad {
	out := &operatorpb.MachineLoad{Machine: m.ID, Load: m.Load, Smoothed: m.Smoothed}
	for _, t := range m.Teams {
		out.Teams = append(out.Teams, &operatorpb.TeamLoad{Team: t.Team, Load: t.Load})
	}
	return out
}
