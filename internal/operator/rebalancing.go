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

const (
	// defaultListedMachines is the number of machines whose load is listed if the request does not specify one.
	defaultListedMachines = 20
	// maxListedMachines is the maximum number of machines that are listed, because a response must fit into a message.
	maxListedMachines = 2000
)

// RebalancingController executes operators' requests about rebalancing on the leader. It returns errors of this
// package.
type RebalancingController interface {
	LeaderLocator
	// RebalancingStatus returns the status, including the given number of machines with the highest load.
	RebalancingStatus(ctx context.Context, machines int) (rebalance.Status, error)
	// PauseRebalancing pauses rebalancing, or resumes it if paused is false. It returns the status once the change is
	// durable.
	PauseRebalancing(ctx context.Context, paused bool) (rebalance.Status, error)
}

// rebalancingService implements the generated interface SpreadServiceHandler by a RebalancingController. The protocol
// calls rebalancing "spread".
type rebalancingService struct {
	forwarder[operatorpbconnect.SpreadServiceClient]
	controller RebalancingController
}

// RebalancingHandler returns the HTTP handler of the rebalancing service, and the path prefix at which to register it.
func RebalancingHandler(controller RebalancingController, dial call.Dialer) (path string, handler http.Handler) {
	service := &rebalancingService{
		forwarder: forwarder[operatorpbconnect.SpreadServiceClient]{
			leader:    controller,
			dial:      dial,
			newClient: NewRebalancingClient,
		},
		controller: controller,
	}
	return operatorpbconnect.NewSpreadServiceHandler(service, connect.WithReadMaxBytes(maxMessageBytes))
}

// NewRebalancingClient returns a client for the rebalancing service on a cluster address. The returned function
// closeIdle closes the client's idle connections.
func NewRebalancingClient(
	dial call.Dialer, addr string,
) (client operatorpbconnect.SpreadServiceClient, closeIdle func()) {
	return newClient(operatorpbconnect.NewSpreadServiceClient, dial, addr)
}

// GetSpread implements SpreadServiceHandler.
func (s *rebalancingService) GetSpread(
	ctx context.Context, request *connect.Request[operatorpb.GetSpreadRequest],
) (*connect.Response[operatorpb.SpreadStatus], error) {
	local := func(ctx context.Context) (*operatorpb.SpreadStatus, error) {
		machines := int(min(request.Msg.Machines, maxListedMachines))
		if machines == 0 {
			machines = defaultListedMachines
		}
		return rebalancingStatusResult(s.controller.RebalancingStatus(ctx, machines))
	}
	return serveOrForward(ctx, s.forwarder, request, local, operatorpbconnect.SpreadServiceClient.GetSpread)
}

// PauseSpread implements SpreadServiceHandler.
func (s *rebalancingService) PauseSpread(
	ctx context.Context, request *connect.Request[operatorpb.ChangeSpreadRequest],
) (*connect.Response[operatorpb.SpreadStatus], error) {
	return serveOrForward(ctx, s.forwarder, request, s.setPaused(true), operatorpbconnect.SpreadServiceClient.PauseSpread)
}

// ResumeSpread implements SpreadServiceHandler.
func (s *rebalancingService) ResumeSpread(
	ctx context.Context, request *connect.Request[operatorpb.ChangeSpreadRequest],
) (*connect.Response[operatorpb.SpreadStatus], error) {
	return serveOrForward(
		ctx, s.forwarder, request, s.setPaused(false), operatorpbconnect.SpreadServiceClient.ResumeSpread)
}

// setPaused returns the function that pauses or resumes rebalancing on the leader.
func (s *rebalancingService) setPaused(paused bool) func(context.Context) (*operatorpb.SpreadStatus, error) {
	return func(ctx context.Context) (*operatorpb.SpreadStatus, error) {
		return rebalancingStatusResult(s.controller.PauseRebalancing(ctx, paused))
	}
}

// rebalancingStatusResult converts the result of a RebalancingController's method.
func rebalancingStatusResult(status rebalance.Status, err error) (*operatorpb.SpreadStatus, error) {
	if err != nil {
		return nil, err
	}
	message := &operatorpb.SpreadStatus{
		Paused:        status.Paused,
		WaitsFor:      status.IdleReason,
		KnownMachines: uint32(status.KnownMachines),
	}
	for i := range status.Machines {
		message.Machines = append(message.Machines, machineLoadMessage(&status.Machines[i]))
	}
	for i := range status.Moves {
		move := &status.Moves[i]
		message.Moves = append(message.Moves, &operatorpb.SpreadMove{
			AgoS:   status.Now.Sub(move.At).Seconds(),
			Task:   move.Task.String(),
			Team:   string(move.Team),
			From:   string(move.From),
			To:     string(move.To),
			Relief: move.ImbalanceReduction,
			GainS:  move.Gain.Seconds(),
			PriceS: move.Cost.Seconds(),
		})
	}
	for _, held := range status.HeldTasks {
		message.Held = append(message.Held, &operatorpb.HeldTask{
			Machine: string(held.Machine),
			Team:    string(held.Team),
			Task:    held.Task,
			Reason:  held.Reason,
		})
	}
	return message, nil
}

func machineLoadMessage(load *rebalance.MachineLoad) *operatorpb.MachineLoad {
	message := &operatorpb.MachineLoad{Machine: string(load.ID), Load: load.Load, Smoothed: load.Smoothed}
	for _, team := range load.Teams {
		message.Teams = append(message.Teams, &operatorpb.TeamLoad{Team: string(team.Team), Load: team.Load})
	}
	return message
}
