package state

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"saffronbend/wire"
)

// watchMargin is how much longer than it blocks a watch may take.
const watchMargin = 3 * time.Second

// Watch waits until a key with the prefix has changed after a revision, for block at most, and returns all such
// changes; there may be none. ErrCompacted means that some are no longer known.
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
		connections: c.watches, method: http.MethodGet, path: "/watch?" + query.Encode(), timeout: block + watchMargin,
		response: response,
	})
	switch {
	case err != nil:
		return nil, err
	case status == http.StatusGone:
		return nil, ErrCompacted
	case status != http.StatusOK:
		return nil, refused(status)
	}
	return response, nil
}
