// Package call makes HTTP requests that carry JSON. The clients of the key-value store, the cloud, the workers and the
// other controllers are built on it; they own limits, timeouts, retries and the meaning of a status.
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

// Dialer opens connections, like net.Dialer.DialContext.
type Dialer func(ctx context.Context, network, addr string) (net.Conn, error)

// NewClient returns a client with at most so many connections to each host, busy and idle ones together. Idle ones are
// closed after a minute.
func NewClient(dial Dialer, connectionsPerHost int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         dial,
		MaxConnsPerHost:     connectionsPerHost,
		MaxIdleConnsPerHost: connectionsPerHost,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}}
}

// UnencryptedHTTP2 returns the protocols of the connections between controllers: HTTP/2 without TLS, and nothing else.
func UnencryptedHTTP2() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}

// JSON sends a request, with the encoding of body unless that is nil, and returns the response's status and whole body,
// whatever the status. After an error it is unknown whether the request was carried out.
func JSON(
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
	defer func() { _ = resp.Body.Close() }() // it was read to its end, or the read's error is returned
	response, err = io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, fmt.Errorf("read: %w", err)
	}
	return resp.StatusCode, response, nil
}
