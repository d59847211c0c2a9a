// Package call makes requests that carry JSON, for the clients of the state service, the
// cloud, the workers and the other controllers.
package call

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
)

// Dialer opens connections.
type Dialer func(ctx context.Context, network, addr string) (net.Conn, error)

// HTTP2 are the protocols between the controllers: HTTP/2 without encryption alone.
func UnencryptedHTTP2() *http.Protocols {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return p
}

// JSON sends a body, if there is one, and reads the whole answer. After an error it is not
// known whether the request was carried out.
func JSON(ctx context.Context, c *http.Client, method, url string, in any) (status int, answer []byte, err error) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return 0, nil, fmt.Errorf("encode: %w", err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return 0, nil, err
	}
	resp, err := c.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, fmt.Errorf("read: %w", err)
	}
	return resp.StatusCode, answer, nil
}
