package leader

import (
	"context"

	"saffronbend/internal/eventloop"
	"saffronbend/internal/lease"
	"saffronbend/internal/micros"
	"saffronbend/internal/peer"
)

// RequestLeases grants or refuses the task leases that the scheduler of a controller requests. It grants none while the
// leader's own lease in the store is not valid. It returns peer.ErrNotLeader if the term has ended, or if ctx was done
// before the result was available.
func (t *Term) RequestLeases(ctx context.Context, request peer.LeaseRequests) (*peer.LeaseResponses, error) {
	responses, err := eventloop.Ask(ctx, t.loop, func(now micros.Timestamp) (*peer.LeaseResponses, error) {
		t.followers.recordContact(now, request.Member)
		return t.grantLeases(now, request), nil
	})
	if err != nil {
		return nil, peer.ErrNotLeader
	}
	return responses, nil
}

func (t *Term) grantLeases(now micros.Timestamp, request peer.LeaseRequests) *peer.LeaseResponses {
	responses := &peer.LeaseResponses{}
	for _, transaction := range request.Requests {
		result := lease.Result{Granted: make([]int, len(transaction.Requests))}
		if t.leaseValid(now) {
			result = t.manager.Grant(now, transaction)
			t.logGrants(request.Member, transaction, result)
		}
		responses.Results = append(responses.Results, result)
	}
	responses.SnapshotVersion = t.manager.NextSnapshotVersion()
	return responses
}

func (t *Term) logGrants(controller string, transaction lease.Transaction, result lease.Result) {
	for i, request := range transaction.Requests {
		t.cfg.Log.Debug("served a request for task leases", "from", controller, "job", request.Job,
			"machine", request.Machine, "requested", request.Count, "waits_for", request.WaitFor,
			"granted", result.Granted[i])
	}
}

// localLeaseGranter passes the requests for task leases of this controller's own placer to the term.
type localLeaseGranter struct{ term *Term }

// RequestLeases implements placement.LeaseGranter.
func (g localLeaseGranter) RequestLeases(
	ctx context.Context, requests []lease.Transaction,
) (*peer.LeaseResponses, error) {
	return g.term.RequestLeases(ctx, peer.LeaseRequests{
		Member:       g.term.cfg.Settings.Member,
		FencingToken: g.term.token,
		Requests:     requests,
	})
}
