package scenario

import (
	"context"
	"fmt"
	"strings"

	"connectrpc.com/connect"

	"saffronbend/internal/operator"
	"saffronbend/internal/operator/operatorpb"
	"saffronbend/internal/operator/operatorpb/operatorpbconnect"
)

// drain sends an operator's command about a drain to a controller.
func (h *harness) drain(ctx context.Context, args arguments) error {
	words, member := h.splitMember(args.words)
	client, closeIdle := operator.NewDrainClient(h.operators.Dial, h.controllers[member].ip+":"+clusterPort)
	defer closeIdle()
	name := words[1]
	named := connect.NewRequest(&operatorpb.NamedDrainRequest{Name: name})
	var err error
	switch words[0] {
	case "start":
		request, parseErr := drainRequest(name, words[2:])
		if parseErr != nil {
			return parseErr
		}
		_, err = client.StartDrain(ctx, connect.NewRequest(request))
	case "pause":
		_, err = client.PauseDrain(ctx, named)
	case "resume":
		_, err = client.ResumeDrain(ctx, named)
	case "cancel":
		_, err = client.CancelDrain(ctx, named)
	default:
		return errUnknownWord
	}
	return compareOutcome(err, args.want)
}

// drainRequest parses the fields of a drain.
func drainRequest(name string, fields []string) (*operatorpb.StartDrainRequest, error) {
	request := &operatorpb.StartDrainRequest{Name: name, Budgets: map[string]string{}}
	for _, field := range fields {
		key, value, _ := strings.Cut(field, "=")
		switch key {
		case "machines":
			request.Machines = strings.Split(value, ",")
		case "zone":
			request.Zone = value
		case "type":
			request.Type = value
		case "older-than":
			request.OlderThanS = parseNumber(value)
		case "step":
			request.Step = uint32(parseNumber(value))
		case "deadline":
			request.DeadlineS = parseNumber(value)
		case "evict-at-deadline":
			request.EvictAtDeadline = true
		case "budget": // TEAM:LIMIT
			team, limit, _ := strings.Cut(value, ":")
			request.Budgets[team] = limit
		default:
			return nil, fmt.Errorf("unknown field %q", key)
		}
	}
	return request, nil
}

// drainStatus requests the status of a drain.
func (h *harness) drainStatus(ctx context.Context, name string) (*operatorpb.DrainStatus, error) {
	get := func(
		ctx context.Context, client operatorpbconnect.DrainServiceClient,
	) (*connect.Response[operatorpb.GetDrainsResponse], error) {
		return client.GetDrains(ctx, connect.NewRequest(&operatorpb.GetDrainsRequest{Name: name}))
	}
	response, err := askAnyController(ctx, h, operator.NewDrainClient, get)
	if err != nil {
		return nil, err
	}
	return response.Drains[0], nil
}

// checkDrain checks a condition of a drain. In the expected reason, "_" stands for a space.
func checkDrain(ctx context.Context, h *harness, words []string) error {
	status, err := h.drainStatus(ctx, words[0])
	if err != nil {
		return err
	}
	got, want := "", words[2]
	switch words[1] {
	case "state":
		got = status.State
	case "gone":
		got = fmt.Sprint(status.Gone)
	case "emptying":
		got = fmt.Sprint(status.Emptying)
	case "blocked": // holds if the reason of some blocked machine contains the text
		for _, blocked := range status.Blocked {
			got += blocked.Machine + " " + blocked.Team + ": " + blocked.Reason + "; "
			if strings.Contains(blocked.Reason, withSpaces(want)) {
				return nil
			}
		}
	default:
		return errUnknownWord
	}
	if got != want {
		return fmt.Errorf("got %q (blocked machines: %v)", got, status.Blocked)
	}
	return nil
}
