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

// DrainController executes operators' requests about drains on the leader. It returns errors of this package and of
// package drain.
type DrainController interface {
	LeaderLocator
	// StartDrain starts a drain and returns its status once the drain is durable. It is idempotent.
	StartDrain(ctx context.Context, request drain.Request) (drain.Status, error)
	// ChangeDrain pauses, resumes or cancels a drain and returns its status once the change is durable.
	ChangeDrain(ctx context.Context, name string, newState drain.State) (drain.Status, error)
	// ListDrains returns the drain with the given name, or all drains if the name is empty.
	ListDrains(ctx context.Context, name string) ([]drain.Status, error)
}

// drainService implements the generated interface DrainServiceHandler by a DrainController.
type drainService struct {
	forwarder[operatorpbconnect.DrainServiceClient]
	controller DrainController
}

// DrainHandler returns the HTTP handler of the drain service, and the path prefix at which to register it.
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

// NewDrainClient returns a client for the drain service on a cluster address. The returned function closeIdle closes
// the client's idle connections.
func NewDrainClient(dial call.Dialer, addr string) (client operatorpbconnect.DrainServiceClient, closeIdle func()) {
	return newClient(operatorpbconnect.NewDrainServiceClient, dial, addr)
}

// StartDrain implements DrainServiceHandler.
func (s *drainService) StartDrain(
	ctx context.Context, request *connect.Request[operatorpb.StartDrainRequest],
) (*connect.Response[operatorpb.DrainStatus], error) {
	local := func(ctx context.Context) (*operatorpb.DrainStatus, error) {
		decoded, err := decodeStartDrain(request.Msg)
		if err != nil {
			return nil, err
		}
		return drainStatusResult(s.controller.StartDrain(ctx, decoded))
	}
	return serveOrForward(ctx, s.forwarder, request, local, operatorpbconnect.DrainServiceClient.StartDrain)
}

// GetDrains implements DrainServiceHandler.
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

// PauseDrain implements DrainServiceHandler.
func (s *drainService) PauseDrain(
	ctx context.Context, request *connect.Request[operatorpb.NamedDrainRequest],
) (*connect.Response[operatorpb.DrainStatus], error) {
	local := s.setState(request, drain.Paused)
	return serveOrForward(ctx, s.forwarder, request, local, operatorpbconnect.DrainServiceClient.PauseDrain)
}

// ResumeDrain implements DrainServiceHandler.
func (s *drainService) ResumeDrain(
	ctx context.Context, request *connect.Request[operatorpb.NamedDrainRequest],
) (*connect.Response[operatorpb.DrainStatus], error) {
	local := s.setState(request, drain.Running)
	return serveOrForward(ctx, s.forwarder, request, local, operatorpbconnect.DrainServiceClient.ResumeDrain)
}

// CancelDrain implements DrainServiceHandler.
func (s *drainService) CancelDrain(
	ctx context.Context, request *connect.Request[operatorpb.NamedDrainRequest],
) (*connect.Response[operatorpb.DrainStatus], error) {
	local := s.setState(request, drain.Cancelled)
	return serveOrForward(ctx, s.forwarder, request, local, operatorpbconnect.DrainServiceClient.CancelDrain)
}

// setState returns the function that changes the state of a drain on the leader.
func (s *drainService) setState(
	request *connect.Request[operatorpb.NamedDrainRequest], newState drain.State,
) func(context.Context) (*operatorpb.DrainStatus, error) {
	return func(ctx context.Context) (*operatorpb.DrainStatus, error) {
		return drainStatusResult(s.controller.ChangeDrain(ctx, request.Msg.Name, newState))
	}
}

// decodeStartDrain converts a request. It rejects values that the types of package drain can't represent; all other
// values are validated by package drain.
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

// machineIDs converts the machine names of a message.
func machineIDs(names []string) []wire.MachineID {
	var ids []wire.MachineID
	for _, name := range names {
		ids = append(ids, wire.MachineID(name))
	}
	return ids
}

// budgetsByTeam converts the disruption budgets of a message.
func budgetsByTeam(message map[string]string) map[wire.TeamName]string {
	budgets := make(map[wire.TeamName]string, len(message))
	for team, budget := range message {
		budgets[wire.TeamName(team)] = budget
	}
	return budgets
}

// drainStatusResult converts the result of a DrainController's method.
func drainStatusResult(status drain.Status, err error) (*operatorpb.DrainStatus, error) {
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
