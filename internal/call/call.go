// Package call sends HTTP requests with JSON bodies. The clients of the key-value store, the cloud, the workers and the
// other controllers are built on it. Those clients are responsible for rate limits, timeouts, retries and the
// interpretation of status codes.
package call

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Dialer opens network connections. Its contract is that of net.Dialer.DialContext.
type Dialer func(ctx context.Context, network, addr string) (net.Conn, error)

// NewClient returns an HTTP client with at most connectionsPerHost connections to each host, busy and idle ones
// together. Idle connections are closed after one minute.
func NewClient(dial Dialer, connectionsPerHost int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         dial,
		MaxConnsPerHost:     connectionsPerHost,
		MaxIdleConnsPerHost: connectionsPerHost,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}}
}

// UnencryptedHTTP2 returns the protocol set for connections between controllers. It contains only HTTP/2 without TLS.
func UnencryptedHTTP2() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}

// DoJSON sends a request with the JSON encoding of body, or without a body if body is nil. It returns the status and
// the complete body of the response, regardless of the status. After an error it is unknown whether the request was
// carried out.
func DoJSON(
	ctx context.Context, client *http.Client, method, url string, body any,
) (status int, response []byte, err error) {
	var content io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return 0, nil, fmt.Errorf("encode: %w", err)
		}
		content = bytes.NewReader(encoded)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, content)
	if err != nil {
		return 0, nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }() // the body was read completely, or the read error is returned
	response, err = io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, fmt.Errorf("read: %w", err)
	}
	return resp.StatusCode, response, nil
}
