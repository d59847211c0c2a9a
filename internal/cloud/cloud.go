// Package cloud is the client of the cloud that rents machines.
package cloud

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"saffronbend/internal/call"
	"saffronbend/wire"
)

// ErrNoCapacity says that none of the machines asked for can be had now.
var ErrNoCapacity = errors.New("no capacity")

// ErrUnavailable says that the cloud did not carry the request out.
var ErrUnavailable = errors.New("the cloud does not serve now")

// Client talks to the cloud within its limits.
type Client struct {
	base string
	http *http.Client
	lim  *rate.Limiter
}

// New makes a client.
func New(dial call.Dialer, addr string, rps float64) *Client {
	tr := &http.Transport{DialContext: dial, MaxConnsPerHost: 4, MaxIdleConnsPerHost: 4,
		IdleConnTimeout: time.Minute, DisableCompression: true}
	return &Client{base: "http://" + addr, http: &http.Client{Transport: tr},
		lim: rate.NewLimiter(rate.Limit(rps), max(1, int(rps)))}
}

// SetShare changes how many requests a second this controller may send.
func (c *Client) SetRate(rps float64) {
	c.lim.SetLimit(rate.Limit(rps))
	c.lim.SetBurst(max(1, int(rps)))
}

func (c *Client) do(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	if err := c.lim.Wait(ctx); err != nil {
		return ErrUnavailable
	}
	status, data, err := call.JSON(ctx, c.http, method, c.base+path, in)
	if err != nil {
		return fmt.Errorf("cloud: %w", err)
	}
	switch status {
	case http.StatusOK:
	case http.StatusServiceUnavailable:
		var e wire.ErrorResponse
		if json.Unmarshal(data, &e) == nil && e.Error == ErrNoCapacity.Error() {
			return ErrNoCapacity
		}
		return ErrUnavailable
	case http.StatusTooManyRequests:
		return ErrUnavailable
	default:
		return fmt.Errorf("cloud: status %d", status)
	}
	if out != nil {
		if err := json.Unmarshal(data, out); err != nil {
			return fmt.Errorf("cloud: answer: %w", err)
		}
	}
	return nil
}

// Types lists the machine types with their current prices.
func (c *Client) MachineTypes(ctx context.Context) ([]wire.MachineType, error) {
	var t wire.MachineTypes
	if err := c.do(ctx, http.MethodGet, "/machine_types", nil, &t); err != nil {
		return nil, err
	}
	return t.Types, nil
}

// ScaleOut rents machines. After an error other than ErrNoCapacity and ErrUnavailable
// the machines may exist all the same; repeating the same request is safe.
func (c *Client) ScaleOut(ctx context.Context, h wire.ScaleOutRequest) ([]string, error) {
	var n wire.MachineIDs
	if err := c.do(ctx, http.MethodPost, "/machines", h, &n); err != nil {
		return nil, err
	}
	return n.IDs, nil
}

// ScaleIn returns machines; nil means that they and all on them are gone.
func (c *Client) ScaleIn(ctx context.Context, names []string) error {
	return c.do(ctx, http.MethodPost, "/machines/delete", wire.MachineIDs{IDs: names}, nil)
}

// List reads the whole list of machines.
func (c *Client) ListMachines(ctx context.Context) ([]wire.Machine, error) {
	var all []wire.Machine
	from := ""
	for {
		q := url.Values{"page": {strconv.Itoa(wire.MachinePageSize)}}
		if from != "" {
			q.Set("from", from)
		}
		var l wire.MachinePage
		if err := c.do(ctx, http.MethodGet, "/machines?"+q.Encode(), nil, &l); err != nil {
			return nil, err
		}
		all = append(all, l.Machines...)
		if !l.More || len(l.Machines) == 0 {
			return all, nil
		}
		from = l.Machines[len(l.Machines)-1].ID
	}
}
