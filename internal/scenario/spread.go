package scenario

import (
	"context"
	"fmt"
	"strings"

	"connectrpc.com/connect"

	"saffronbend/internal/operator"
	"saffronbend/internal/operator/operatorpb"
	"saffronbend/internal/operator/operatorpb/operatorpbconnect"
	"saffronbend/internal/standin"
)

// spread carries out an operator's command about moves at a controller.
func (w *world) spread(f []string, want string) error {
	f, member := w.at(f)
	client, closeIdle := operator.NewRebalancingClient(w.operators.Dial, w.nodes[member].ip+":8081")
	defer closeIdle()
	req := connect.NewRequest(&operatorpb.ChangeSpreadRequest{})
	var err error
	switch f[0] {
	case "status":
		_, err = client.GetSpread(w.ctx, connect.NewRequest(&operatorpb.GetSpreadRequest{}))
	case "pause":
		_, err = client.PauseSpread(w.ctx, req)
	case "resume":
		_, err = client.ResumeSpread(w.ctx, req)
	default:
		return fmt.Errorf("unknown word")
	}
	return compareOperator(err, want)
}

// spreadStatus asks for load and moves.
func (w *world) spreadStatus() (*operatorpb.SpreadStatus, error) {
	return askEach(w, operator.NewRebalancingClient, func(ctx context.Context, client operatorpbconnect.SpreadServiceClient) (*connect.Response[operatorpb.SpreadStatus], error) {
		return client.GetSpread(ctx, connect.NewRequest(&operatorpb.GetSpreadRequest{}))
	})
}

// checkSpread tests a condition of load and moves. Words of reasons are joined by "_".
func (w *world) checkSpread(f []string) error {
	st, err := w.spreadStatus()
	if err != nil {
		return err
	}
	want := strings.ReplaceAll(f[1], "_", " ")
	var got []string
	switch f[0] {
	case "waits": // for something that contains the words
		got = []string{st.WaitsFor}
	case "held": // some task, with a reason that contains the words
		for _, h := range st.Held {
			got = append(got, h.Reason)
		}
	case "decides":
		if st.WaitsFor == "" && f[1] == "yes" {
			return nil
		}
		return fmt.Errorf("moves wait for %q", st.WaitsFor)
	default:
		return fmt.Errorf("unknown condition %q", f[0])
	}
	for _, g := range got {
		if strings.Contains(g, want) {
			return nil
		}
	}
	return fmt.Errorf("spread %s is %q, want %q", f[0], got, want)
}

// stopped is how many disturbances began with an order to stop a task.
func (w *world) stopped() int {
	n := 0
	all, _ := standin.AuditDisturbances(w.referee.Events(), nil, 0)
	for _, d := range all {
		if d.Ordered {
			n++
		}
	}
	return n
}

// mostOn is how many tasks of a job the machine has on which there are most.
func (w *world) mostOn(job string) int {
	counts := map[string]int{}
	most := 0
	for _, machine := range w.referee.On(job) {
		counts[machine]++
		most = max(most, counts[machine])
	}
	return most
}
