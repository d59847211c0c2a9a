package operator

import (
	"context"
	"math"
	"net/http"

	"connectrpc.com/connect"

	"saffronbend/internal/call"
	"saffronbend/internal/drain"
	"saffronbend/internal/micros"
	"saffronbend/internal/operator/operatorpb"
	"saffronbend/internal/operator/operatorpb/operatorpbconnect"
	"saffronbend/wire"
)

// DrainController carries out the operators' requests about drains on the leader. Its errors are those of this
// package and of package drain.
type DrainController interface {
	LeaderLocator
	// StartDrain starts a drain and returns its status once that is durable. A repeated request changes nothing.
	StartDrain(ctx context.Context, request drain.Request) (drain.Status, error)
	// ChangeDrain pauses, resumes or cancels a drain and returns its status once that is durable.
	ChangeDrain(ctx context.Context, name string, to drain.State) (drain.Status, error)
	// ListDrains returns the drain of a name, or all drains if the name is empty.
	ListDrains(ctx context.Context, name string) ([]drain.Status, error)
}

// drainService implements the generated interface by a DrainController.
type drainService struct {
	forwarder[operatorpbconnect.DrainServiceClient]
	controller DrainController
}

// DrainHandler returns the handler of the service of drains, and the path below which it is served.
func DrainHandler(controller DrainController, dial call.Dialer) (path string, handler http.Handler) {
	service := &drainService{
		forwarder: forwarder[operatorpbconnect.DrainServiceClient]{
			leader:    controller,
			dial:      dial,
			newClient: NewDrainClient,
		},
		controller: controller,
	}
	return operatorpbconnect.NewDrainServiceHandler(service, connect.WithReadMaxBytes(maxMessageBytes))
}

// NewDrainClient returns a client for the service of drains on a cluster address. The function closeIdle closes its
// idle connections.
func NewDrainClient(dial call.Dialer, addr string) (client operatorpbconnect.DrainServiceClient, closeIdle func()) {
	return newClient(operatorpbconnect.NewDrainServiceClient, dial, addr)
}

// StartDrain implements the generated interface.
func (s *drainService) StartDrain(
	ctx context.Context, request *connect.Request[operatorpb.StartDrainRequest],
) (*connect.Response[operatorpb.DrainStatus], error) {
	local := func(ctx context.Context) (*operatorpb.DrainStatus, error) {
		decoded, err := decodeStartDrain(request.Msg)
		if err != nil {
			return nil, err
		}
		return encodeDrainStatus(s.controller.StartDrain(ctx, decoded))
	}
	return serveOrForward(ctx, s.forwarder, request, local, operatorpbconnect.DrainServiceClient.StartDrain)
}

// GetDrains implements the generated interface.
func (s *drainService) GetDrains(
	ctx context.Context, request *connect.Request[operatorpb.GetDrainsRequest],
) (*connect.Response[operatorpb.GetDrainsResponse], error) {
	local := func(ctx context.Context) (*operatorpb.GetDrainsResponse, error) {
		drains, err := s.controller.ListDrains(ctx, request.Msg.Name)
		if err != nil {
			return nil, err
		}
		response := &operatorpb.GetDrainsResponse{}
		for i := range drains {
			response.Drains = append(response.Drains, drainStatusMessage(&drains[i]))
		}
		return response, nil
	}
	return serveOrForward(ctx, s.forwarder, request, local, operatorpbconnect.DrainServiceClient.GetDrains)
}

// PauseDrain implements the generated interface.
func (s *drainService) PauseDrain(
	ctx context.Context, request *connect.Request[operatorpb.NamedDrainRequest],
) (*connect.Response[operatorpb.DrainStatus], error) {
	local := s.changeDrain(request, drain.Paused)
	return serveOrForward(ctx, s.forwarder, request, local, operatorpbconnect.DrainServiceClient.PauseDrain)
}

// ResumeDrain implements the generated interface.
func (s *drainService) ResumeDrain(
	ctx context.Context, request *connect.Request[operatorpb.NamedDrainRequest],
) (*connect.Response[operatorpb.DrainStatus], error) {
	local := s.changeDrain(request, drain.Running)
	return serveOrForward(ctx, s.forwarder, request, local, operatorpbconnect.DrainServiceClient.ResumeDrain)
}

// CancelDrain implements the generated interface.
func (s *drainService) CancelDrain(
	ctx context.Context, request *connect.Request[operatorpb.NamedDrainRequest],
) (*connect.Response[operatorpb.DrainStatus], error) {
	local := s.changeDrain(request, drain.Cancelled)
	return serveOrForward(ctx, s.forwarder, request, local, operatorpbconnect.DrainServiceClient.CancelDrain)
}

// changeDrain returns the function that carries a change of state out on the leader.
func (s *drainService) changeDrain(
	request *connect.Request[operatorpb.NamedDrainRequest], to drain.State,
) func(context.Context) (*operatorpb.DrainStatus, error) {
	return func(ctx context.Context) (*operatorpb.DrainStatus, error) {
		return encodeDrainStatus(s.controller.ChangeDrain(ctx, request.Msg.Name, to))
	}
}

// decodeStartDrain checks what the types of package drain can't express, and leaves the rest to the planner.
func decodeStartDrain(message *operatorpb.StartDrainRequest) (drain.Request, error) {
	if message.Step > drain.MaxStep {
		return drain.Request{}, errStepTooLarge
	}
	if math.IsNaN(message.DeadlineS) || math.IsNaN(message.OlderThanS) {
		return drain.Request{}, drain.ErrNegativeDuration
	}
	return drain.Request{
		Name:            message.Name,
		Machines:        machineIDs(message.Machines),
		Zone:            message.Zone,
		Type:            message.Type,
		OlderThan:       micros.Seconds(message.OlderThanS),
		Step:            int(message.Step),
		Deadline:        micros.Seconds(message.DeadlineS),
		EvictAtDeadline: message.EvictAtDeadline,
		Budgets:         budgetsByTeam(message.Budgets),
	}, nil
}

// machineIDs returns the identifiers of machines that a message names.
func machineIDs(names []string) []wire.MachineID {
	var ids []wire.MachineID
	for _, name := range names {
		ids = append(ids, wire.MachineID(name))
	}
	return ids
}

// budgetsByTeam returns the disruption budgets of a message.
func budgetsByTeam(message map[string]string) map[wire.TeamName]string {
	budgets := make(map[wire.TeamName]string, len(message))
	for team, budget := range message {
		budgets[wire.TeamName(team)] = budget
	}
	return budgets
}

// encodeDrainStatus returns the message for a controller's result.
func encodeDrainStatus(status drain.Status, err error) (*operatorpb.DrainStatus, error) {
	if err != nil {
		return nil, err
	}
	return drainStatusMessage(&status), nil
}

func drainStatusMessage(status *drain.Status) *operatorpb.DrainStatus {
	message := &operatorpb.DrainStatus{
		Name:      status.Name,
		State:     string(status.State),
		Machines:  uint32(status.Machines),
		Gone:      uint32(status.Gone),
		Emptying:  uint32(status.Emptying),
		TasksLeft: uint32(status.TasksLeft),
		Overdue:   status.Overdue,
	}
	for _, blocked := range status.Blocked {
		message.Blocked = append(message.Blocked, &operatorpb.BlockedMachine{
			Machine: string(blocked.Machine),
			Team:    string(blocked.Team),
			Task:    blocked.Task,
			Reason:  blocked.Reason,
		})
	}
	for _, budget := range status.Budgets {
		message.Budgets = append(message.Budgets, &operatorpb.TeamBudget{
			Team:      string(budget.Team),
			Disturbed: uint32(budget.Disrupted),
			Allowed:   uint32(budget.Allowed),
		})
	}
	return message
}
