package state

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"saffronbend/wire"
)

const leaseTimeout = time.Second

// GrantLease obtains a lease of the store with a time to live of 100 ms to 10 minutes, and returns its ID.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (id uint64, err error) {
	var lease wire.StoreLease
	status, err := c.do(ctx, request{
		connections: c.requests, method: http.MethodPost, path: "/grants", timeout: leaseTimeout,
		body: wire.StoreLeaseRequest{TTLMillis: ttl.Milliseconds()}, response: &lease,
	})
	if err != nil {
		return 0, err
	}
	if status != http.StatusOK {
		return 0, refused(status)
	}
	return lease.ID, nil
}

// RenewLease restores a lease's full time to live. ErrLeaseExpired means that it has expired, and that its keys
// are removed.
func (c *Client) RenewLease(ctx context.Context, id uint64) error {
	status, err := c.do(ctx, request{
		connections: c.requests, method: http.MethodPost, path: "/grants/" + strconv.FormatUint(id, 10) + "/renew",
		timeout: leaseTimeout,
	})
	switch {
	case err != nil:
		return err
	case status == http.StatusNotFound:
		return ErrLeaseExpired
	case status != http.StatusOK:
		return refused(status)
	}
	return nil
}
