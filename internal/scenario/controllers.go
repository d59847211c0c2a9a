package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"saffronbend"
	"saffronbend/internal/settings"
	"saffronbend/wire"
)

// start starts a controller on a new host.
func (h *harness) start(ctx context.Context, member string) error {
	parsed, err := settings.Parse([]byte(h.settings(member)), h.options)
	if err != nil {
		return err
	}
	c := h.controllers[member]
	host := h.net.StartHost(c.ip)
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	c.host, c.cancel, c.done = host, cancel, done
	go func() {
		defer close(done)
		_ = saffronbend.New(parsed, host, h.log).Run(ctx) // a controller whose host has failed may end with any error
	}()
	return nil
}

// crash stops a controller. Its host fails first, so that nothing that the controller sends while it stops arrives.
func (h *harness) crash(member string) {
	c := h.controllers[member]
	if c == nil || !c.running() {
		return
	}
	c.host.Kill()
	c.cancel()
	<-c.done
	c.cancel = nil
}

// settings returns the settings file of a controller.
func (h *harness) settings(member string) string {
	var b strings.Builder
	ip := h.controllers[member].ip
	fmt.Fprintf(&b, "member = %q\nlocation = \"a\"\n", member)
	fmt.Fprintf(&b, "serve_on = \"%s:%s\"\ncluster_listen = \"%s:%s\"\n", ip, servePort, ip, clusterPort)
	for _, seed := range h.members {
		if seed != member {
			fmt.Fprintf(&b, "[[seeds]]\nmember = %q\nlocation = \"a\"\n", seed)
			fmt.Fprintf(&b, "addr = \"%s:%s\"\n", h.controllers[seed].ip, clusterPort)
		}
	}
	fmt.Fprintf(&b, "[services]\ncloud = \"%s:%s\"\nstate = \"%s:%s\"\n", cloudIP, cloudPort, stateIP, statePort)
	fmt.Fprintf(&b, "[deployment]\nnodes = %d\nskew_ms = 50.0\n", controllerCount)
	for _, team := range h.teams {
		fmt.Fprintf(&b, "[[deployment.teams]]\nname = %q\ncpus_max = %f\n", team.Name, team.CPUsMax)
	}
	h.writeDeployment(&b)
	return b.String()
}

// writeDeployment writes the settings that follow from the scenario's values.
func (h *harness) writeDeployment(b *strings.Builder) {
	h.writeSection(b, "workers", "", "report_s", "lease_s", "cancel_s", "gang_wait_s", "gang_peer_s")
	h.writeSection(b, "state", "", "rps", "write_rps", "value_kb", "txn_ops")
	h.writeSection(b, "state.next", nextPrefix, "value_kb", "txn_ops", "write_rps")
	h.writeSection(b, "cloud", "cloud_", "rps")
	fmt.Fprintf(b, "list_lag_s = %f\n", h.values["list_lag_s"])
	h.writeSection(b, "quota", "", "mem_mb", "max_connections")
	b.WriteString("core_share = 1.0\n")
}

// writeSection writes a section of the settings. Each key is the name of a value of the scenario without the prefix.
func (h *harness) writeSection(b *strings.Builder, section, prefix string, keys ...string) {
	fmt.Fprintf(b, "[deployment.%s]\n", section)
	for _, key := range keys {
		value := h.values[prefix+key]
		if prefix == nextPrefix && value == 0 {
			continue // the scenario announces no such limit
		}
		format := "%s = %f\n"
		if key == "txn_ops" || key == "max_connections" {
			format = "%s = %.0f\n" // the settings distinguish integers
		}
		fmt.Fprintf(b, format, key, value)
	}
}

// errNoRetryAfter is the error of a response with code 503 that does not say when to retry.
var errNoRetryAfter = errors.New("response 503 without the header Retry-After")

// request sends a user's request to a controller. Without a response the code is 0 and the error nil.
func (h *harness) request(
	ctx context.Context, method, member, path string, body any,
) (code int, status wire.JobStatus, err error) {
	c := h.controllers[member]
	if c == nil {
		return 0, status, nil // there is no such controller, for example no leader
	}
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return 0, status, err
		}
		reader = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.ip+":"+servePort+path, reader)
	if err != nil {
		return 0, status, err
	}
	resp, err := h.users.Do(req)
	if err != nil {
		return 0, status, nil // no response is an outcome that steps may expect
	}
	defer func() { _ = resp.Body.Close() }()
	unavailable := resp.StatusCode == http.StatusServiceUnavailable
	if unavailable && path != wire.PathHealth && resp.Header.Get("Retry-After") == "" {
		return 0, status, errNoRetryAfter
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, status, nil // no complete response, as above
	}
	if resp.StatusCode < http.StatusMultipleChoices {
		err = json.Unmarshal(data, &status)
	}
	return resp.StatusCode, status, err
}
