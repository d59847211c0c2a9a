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

// rebalancing carries out an operator's command about rebalancing at a controller.
func (w *world) rebalancing(ctx context.Context, args arguments) error {
	words, member := w.cutMember(args.words)
	client, closeIdle := operator.NewRebalancingClient(w.operators.Dial, w.nodes[member].ip+":"+clusterPort)
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

// rebalancingStatus asks for the load and the moves.
func (w *world) rebalancingStatus(ctx context.Context) (*operatorpb.SpreadStatus, error) {
	get := func(
		ctx context.Context, client operatorpbconnect.SpreadServiceClient,
	) (*connect.Response[operatorpb.SpreadStatus], error) {
		return client.GetSpread(ctx, connect.NewRequest(&operatorpb.GetSpreadRequest{}))
	}
	return askEach(ctx, w, operator.NewRebalancingClient, get)
}

// testRebalancing tests a condition of the load and the moves. Words of reasons are joined by "_".
func testRebalancing(ctx context.Context, w *world, words []string) error {
	status, err := w.rebalancingStatus(ctx)
	if err != nil {
		return err
	}
	want := spaced(words[1])
	var got []string
	switch words[0] {
	case "waits": // for something that contains the words
		got = []string{status.WaitsFor}
	case "held": // some task, with a reason that contains the words
		for _, held := range status.Held {
			got = append(got, held.Reason)
		}
	case "decides":
		if status.WaitsFor == "" && words[1] == "yes" {
			return nil
		}
		return fmt.Errorf("moves wait for %q", status.WaitsFor)
	default:
		return errUnknownWord
	}
	for _, reason := range got {
		if strings.Contains(reason, want) {
			return nil
		}
	}
	return fmt.Errorf("it is %q", got)
}

// spaced returns the words of a reason, which are joined by "_" in a scenario.
func spaced(words string) string { return strings.ReplaceAll(words, "_", " ") }
