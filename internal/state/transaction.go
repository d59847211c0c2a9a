package state

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"saffronbend/wire"
)

const (
	// transactionTimeout includes the waits for both rate limits, that of changes and that of requests.
	// transactionRequestTimeout includes only the wait for the rate limit of requests.
	transactionTimeout        = 3 * time.Second
	transactionRequestTimeout = 1500 * time.Millisecond
)

// CompareAndSwap executes an urgent transaction, one that a caller is waiting for, and returns its revision. After a
// *ConflictError, ErrUnavailable, ErrLeaseExpired or ErrRejected nothing was changed; after any other error the outcome
// is unknown.
func (c *Client) CompareAndSwap(ctx context.Context, transaction wire.Transaction) (revision uint64, err error) {
	return c.compareAndSwap(ctx, c.urgentLimiter, transaction)
}

// CompareAndSwapDeferrable is like CompareAndSwap, but for transactions that can be delayed. They have a separate rate
// limit, which is lowered while the store reports that the rate is exceeded.
func (c *Client) CompareAndSwapDeferrable(
	ctx context.Context, transaction wire.Transaction,
) (revision uint64, err error) {
	revision, err = c.compareAndSwap(ctx, c.deferrableLimiter.limiter, transaction)
	switch {
	case err == nil:
		c.deferrableLimiter.recordSuccess()
	case errors.Is(err, errRateLimited):
		c.deferrableLimiter.recordRateLimited()
	}
	return revision, err
}

func (c *Client) compareAndSwap(
	ctx context.Context, limiter *rate.Limiter, transaction wire.Transaction,
) (revision uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, transactionTimeout)
	defer cancel()
	if err := waitForChanges(ctx, limiter, len(transaction.Then)); err != nil {
		return 0, ErrUnavailable // nothing was sent
	}
	var result wire.TransactionResult
	status, err := c.do(ctx, request{
		httpClient: c.requestClient, method: http.MethodPost, path: "/txn", timeout: transactionRequestTimeout,
		body: transaction, response: &result,
	})
	switch {
	case err != nil:
		return 0, err
	case status == http.StatusConflict:
		return 0, &ConflictError{FailedKeys: result.FailedKeys}
	case status == http.StatusBadRequest && slices.ContainsFunc(transaction.Then, attachesToLease):
		// The store responds to an expired lease with the same status as to a malformed request. This client's requests
		// are well-formed.
		return 0, ErrLeaseExpired
	case status == http.StatusBadRequest:
		return 0, ErrRejected
	case status != http.StatusOK:
		return 0, rejectedError(status)
	}
	return result.Revision, nil
}

func attachesToLease(change wire.Change) bool { return change.Lease != 0 }

// waitForChanges waits until the limiter allows the given number of changes. If the number exceeds the limiter's burst,
// it waits in several steps.
func waitForChanges(ctx context.Context, limiter *rate.Limiter, changes int) error {
	for changes > 0 {
		part := max(1, min(changes, limiter.Burst()))
		if err := limiter.WaitN(ctx, part); err != nil {
			return err
		}
		changes -= part
	}
	return nil
}
