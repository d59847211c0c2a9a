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
	// transactionTimeout includes the wait for the rate limits, transactionRequestTimeout only that for requests.
	transactionTimeout        = 3 * time.Second
	transactionRequestTimeout = 1500 * time.Millisecond
)

// CompareAndSwap carries out a transaction that somebody waits for, and returns its revision. After a *ConflictError,
// ErrUnavailable, ErrLeaseExpired and ErrRefused nothing was changed; after any other error the outcome is unknown.
func (c *Client) CompareAndSwap(ctx context.Context, transaction wire.Transaction) (revision uint64, err error) {
	return c.compareAndSwap(ctx, c.urgentRate, transaction)
}

// CompareAndSwapDeferrable is CompareAndSwap for a transaction that can wait: it has a rate limit of its own, which is
// lowered while the store refuses such changes as too many.
func (c *Client) CompareAndSwapDeferrable(
	ctx context.Context, transaction wire.Transaction,
) (revision uint64, err error) {
	revision, err = c.compareAndSwap(ctx, c.deferrableRate.limiter, transaction)
	switch {
	case err == nil:
		c.deferrableRate.succeeded()
	case errors.Is(err, errRateLimited):
		c.deferrableRate.rateLimited()
	}
	return revision, err
}

func (c *Client) compareAndSwap(
	ctx context.Context, changeRate *rate.Limiter, transaction wire.Transaction,
) (revision uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, transactionTimeout)
	defer cancel()
	if err := waitForChanges(ctx, changeRate, len(transaction.Then)); err != nil {
		return 0, ErrUnavailable // nothing was sent
	}
	var result wire.TransactionResult
	status, err := c.do(ctx, request{
		connections: c.requests, method: http.MethodPost, path: "/txn", timeout: transactionRequestTimeout,
		body: transaction, response: &result,
	})
	switch {
	case err != nil:
		return 0, err
	case status == http.StatusConflict:
		return 0, &ConflictError{FailedKeys: result.FailedKeys}
	case status == http.StatusBadRequest && slices.ContainsFunc(transaction.Then, attachesToLease):
		// The store answers an expired lease like a malformed request. Ours are well formed.
		return 0, ErrLeaseExpired
	case status == http.StatusBadRequest:
		return 0, ErrRefused
	case status != http.StatusOK:
		return 0, refused(status)
	}
	return result.Revision, nil
}

func attachesToLease(change wire.Change) bool { return change.Lease != 0 }

// waitForChanges waits until the limiter allows so many changes. More than its burst are waited for in parts.
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
