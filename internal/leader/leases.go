package leader

import (
	"context"

	"saffronbend/internal/eventloop"
	"saffronbend/internal/lease"
	"saffronbend/internal/micros"
	"saffronbend/internal/peer"
)

// RequestLeases grants or refuses the lease requests of the framework scheduler of a controller. It returns
// peer.ErrNotLeader if the term has ended.
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
		t.cfg.Log.Debug("lease request", "from", controller, "job", request.Job, "machine", request.Machine,
			"requested", request.Count, "waits_for", request.WaitFor, "granted", result.Granted[i])
	}
}

// localLeaseGranter passes the lease requests of this controller's own placer to the term.
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
