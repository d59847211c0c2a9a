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
	// defaultListedMachines is how many machines' loads are listed unless a request says otherwise.
	defaultListedMachines = 20
	// maxListedMachines bounds the machines that are listed: a response must fit into a message.
	maxListedMachines = 2000
)

// RebalancingController carries out the operators' requests about rebalancing on the leader. Its errors are those of
// this package.
type RebalancingController interface {
	LeaderLocator
	// RebalancingStatus returns the status, with the given number of machines that have the highest load.
	RebalancingStatus(ctx context.Context, machines int) (rebalance.Status, error)
	// PauseRebalancing pauses rebalancing or resumes it, and returns the status once that is durable.
	PauseRebalancing(ctx context.Context, paused bool) (rebalance.Status, error)
}

// rebalancingService implements the generated interface, in which rebalancing is called spread, by a
// RebalancingController.
type rebalancingService struct {
	forwarder[operatorpbconnect.SpreadServiceClient]
	controller RebalancingController
}

// RebalancingHandler returns the handler of the service of rebalancing, and the path below which it is served.
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

// NewRebalancingClient returns a client for the service of rebalancing on a cluster address. The function closeIdle
// closes its idle connections.
func NewRebalancingClient(
	dial call.Dialer, addr string,
) (client operatorpbconnect.SpreadServiceClient, closeIdle func()) {
	return newClient(operatorpbconnect.NewSpreadServiceClient, dial, addr)
}

// GetSpread implements the generated interface.
func (s *rebalancingService) GetSpread(
	ctx context.Context, request *connect.Request[operatorpb.GetSpreadRequest],
) (*connect.Response[operatorpb.SpreadStatus], error) {
	local := func(ctx context.Context) (*operatorpb.SpreadStatus, error) {
		machines := int(min(request.Msg.Machines, maxListedMachines))
		if machines == 0 {
			machines = defaultListedMachines
		}
		return encodeRebalancingStatus(s.controller.RebalancingStatus(ctx, machines))
	}
	return serveOrForward(ctx, s.forwarder, request, local, operatorpbconnect.SpreadServiceClient.GetSpread)
}

// PauseSpread implements the generated interface.
func (s *rebalancingService) PauseSpread(
	ctx context.Context, request *connect.Request[operatorpb.ChangeSpreadRequest],
) (*connect.Response[operatorpb.SpreadStatus], error) {
	return serveOrForward(ctx, s.forwarder, request, s.pause(true), operatorpbconnect.SpreadServiceClient.PauseSpread)
}

// ResumeSpread implements the generated interface.
func (s *rebalancingService) ResumeSpread(
	ctx context.Context, request *connect.Request[operatorpb.ChangeSpreadRequest],
) (*connect.Response[operatorpb.SpreadStatus], error) {
	return serveOrForward(ctx, s.forwarder, request, s.pause(false), operatorpbconnect.SpreadServiceClient.ResumeSpread)
}

// pause returns the function that pauses or resumes rebalancing on the leader.
func (s *rebalancingService) pause(paused bool) func(context.Context) (*operatorpb.SpreadStatus, error) {
	return func(ctx context.Context) (*operatorpb.SpreadStatus, error) {
		return encodeRebalancingStatus(s.controller.PauseRebalancing(ctx, paused))
	}
}

// encodeRebalancingStatus returns the message for a controller's result.
func encodeRebalancingStatus(status rebalance.Status, err error) (*operatorpb.SpreadStatus, error) {
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
