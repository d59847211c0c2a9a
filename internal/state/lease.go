package state

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"saffronbend/wire"
)

const leaseTimeout = time.Second

// GrantLease requests a lease from the store and returns its ID. The store accepts a time to live between 100 ms and
// 10 minutes.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (id uint64, err error) {
	var lease wire.StoreLease
	status, err := c.do(ctx, request{
		httpClient: c.requestClient, method: http.MethodPost, path: "/grants", timeout: leaseTimeout,
		body: wire.StoreLeaseRequest{TTLMillis: ttl.Milliseconds()}, response: &lease,
	})
	if err != nil {
		return 0, err
	}
	if status != http.StatusOK {
		return 0, rejectedError(status)
	}
	return lease.ID, nil
}

// RenewLease resets a lease to its full time to live. ErrLeaseExpired means that the lease has expired and that the
// store has removed the keys attached to it.
func (c *Client) RenewLease(ctx context.Context, id uint64) error {
	status, err := c.do(ctx, request{
		httpClient: c.requestClient, method: http.MethodPost, path: "/grants/" + strconv.FormatUint(id, 10) + "/renew",
		timeout: leaseTimeout,
	})
	switch {
	case err != nil:
		return err
	case status == http.StatusNotFound:
		return ErrLeaseExpired
	case status != http.StatusOK:
		return rejectedError(status)
	}
	return nil
}
