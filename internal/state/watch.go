package state

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"saffronbend/wire"
)

// watchTimeoutMargin is added to the blocking time of a watch to get the timeout of the request.
const watchTimeoutMargin = 3 * time.Second

// Watch waits, for the duration of block at most, until a key with the prefix has changed after the given revision. It
// returns all such changes, possibly none. ErrCompacted means that the store no longer has all of them.
func (c *Client) Watch(
	ctx context.Context, prefix string, after uint64, block time.Duration,
) (*wire.WatchResponse, error) {
	query := url.Values{
		"prefix":   {prefix},
		"from":     {strconv.FormatUint(after, 10)},
		"block_ms": {strconv.FormatInt(block.Milliseconds(), 10)},
	}
	response := new(wire.WatchResponse)
	status, err := c.do(ctx, request{
		httpClient: c.watchClient, method: http.MethodGet, path: "/watch?" + query.Encode(),
		timeout: block + watchTimeoutMargin, response: response,
	})
	switch {
	case err != nil:
		return nil, err
	case status == http.StatusGone:
		return nil, ErrCompacted
	case status != http.StatusOK:
		return nil, rejectedError(status)
	}
	return response, nil
}
