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

// rebalancing sends an operator's command about rebalancing to a controller.
func (h *harness) rebalancing(ctx context.Context, args arguments) error {
	words, member := h.splitMember(args.words)
	client, closeIdle := operator.NewRebalancingClient(h.operators.Dial, h.controllers[member].ip+":"+clusterPort)
	defer closeIdle()
	change := connect.NewRequest(&operatorpb.ChangeSpreadRequest{})
	var err error
	switch words[0] {
	case "status":
		_, err = client.GetSpread(ctx, connect.NewRequest(&operatorpb.GetSpreadRequest{}))
	case "pause":
		_, err = client.PauseSpread(ctx, change)
	case "resume":
		_, err = client.ResumeSpread(ctx, change)
	default:
		return errUnknownWord
	}
	return compareOutcome(err, args.want)
}

// rebalancingStatus requests the load of the machines and the status of moves.
func (h *harness) rebalancingStatus(ctx context.Context) (*operatorpb.SpreadStatus, error) {
	get := func(
		ctx context.Context, client operatorpbconnect.SpreadServiceClient,
	) (*connect.Response[operatorpb.SpreadStatus], error) {
		return client.GetSpread(ctx, connect.NewRequest(&operatorpb.GetSpreadRequest{}))
	}
	return askAnyController(ctx, h, operator.NewRebalancingClient, get)
}

// checkRebalancing checks a condition of rebalancing. In the expected reason, "_" stands for a space.
func checkRebalancing(ctx context.Context, h *harness, words []string) error {
	status, err := h.rebalancingStatus(ctx)
	if err != nil {
		return err
	}
	want := withSpaces(words[1])
	var got []string
	switch words[0] {
	case "waits-for": // holds if the reason why no moves are decided on contains the text
		got = []string{status.WaitsFor}
	case "held-back": // holds if the reason why some task is not moved contains the text
		for _, held := range status.Held {
			got = append(got, held.Reason)
		}
	case "active":
		if status.WaitsFor == "" && words[1] == "yes" {
			return nil
		}
		return fmt.Errorf("no moves are decided on: %q", status.WaitsFor)
	default:
		return errUnknownWord
	}
	for _, reason := range got {
		if strings.Contains(reason, want) {
			return nil
		}
	}
	return fmt.Errorf("got %q", got)
}

// withSpaces returns the text of a reason, in which a scenario writes "_" for each space.
func withSpaces(words string) string { return strings.ReplaceAll(words, "_", " ") }
