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

// start starts a controller on a fresh host.
func (w *world) start(ctx context.Context, member string) error {
	parsed, err := settings.Parse([]byte(w.settings(member)), w.options)
	if err != nil {
		return err
	}
	n := w.nodes[member]
	host := w.net.StartHost(n.ip)
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	n.host, n.cancel, n.done = host, cancel, done
	go func() {
		defer close(done)
		_ = saffronbend.New(parsed, host, w.log).Run(ctx) // a controller whose host has failed may end with any error
	}()
	return nil
}

// crash ends a controller: its host fails first, so that nothing it does in ending reaches anybody.
func (w *world) crash(member string) {
	n := w.nodes[member]
	if n == nil || !n.running() {
		return
	}
	n.host.Kill()
	n.cancel()
	<-n.done
	n.cancel = nil
}

// settings returns the settings of a controller.
func (w *world) settings(member string) string {
	var b strings.Builder
	ip := w.nodes[member].ip
	fmt.Fprintf(&b, "member = %q\nlocation = \"a\"\n", member)
	fmt.Fprintf(&b, "serve_on = \"%s:%s\"\ncluster_listen = \"%s:%s\"\n", ip, servePort, ip, clusterPort)
	for _, seed := range w.members {
		if seed != member {
			fmt.Fprintf(&b, "[[seeds]]\nmember = %q\nlocation = \"a\"\n", seed)
			fmt.Fprintf(&b, "addr = \"%s:%s\"\n", w.nodes[seed].ip, clusterPort)
		}
	}
	fmt.Fprintf(&b, "[services]\ncloud = \"%s:%s\"\nstate = \"%s:%s\"\n", cloudIP, cloudPort, stateIP, statePort)
	fmt.Fprintf(&b, "[deployment]\nnodes = %d\nskew_ms = 50.0\n", controllers)
	for _, team := range w.teams {
		fmt.Fprintf(&b, "[[deployment.teams]]\nname = %q\ncpus_max = %f\n", team.Name, team.CPUsMax)
	}
	w.writeDeployment(&b)
	return b.String()
}

// writeDeployment writes the settings that the scenario's values determine.
func (w *world) writeDeployment(b *strings.Builder) {
	w.writeSection(b, "workers", "", "report_s", "lease_s", "cancel_s", "gang_wait_s", "gang_peer_s")
	w.writeSection(b, "state", "", "rps", "write_rps", "value_kb", "txn_ops")
	w.writeSection(b, "state.next", nextPrefix, "value_kb", "txn_ops", "write_rps")
	w.writeSection(b, "cloud", "cloud_", "rps")
	fmt.Fprintf(b, "list_lag_s = %f\n", w.values["list_lag_s"])
	w.writeSection(b, "quota", "", "mem_mb", "max_connections")
	b.WriteString("core_share = 1.0\n")
}

// writeSection writes a section of the settings, whose keys are the names of the scenario's values without the prefix.
func (w *world) writeSection(b *strings.Builder, section, prefix string, keys ...string) {
	fmt.Fprintf(b, "[deployment.%s]\n", section)
	for _, key := range keys {
		value := w.values[prefix+key]
		if prefix == nextPrefix && value == 0 {
			continue // no such limit is announced
		}
		format := "%s = %f\n"
		if key == "txn_ops" || key == "max_connections" {
			format = "%s = %.0f\n" // the settings distinguish integers
		}
		fmt.Fprintf(b, format, key, value)
	}
}

// errNoRetryAfter is the error of a 503 that does not say when to come back.
var errNoRetryAfter = errors.New("503 does not say when to come back")

// request sends a user's request to a controller. The code is 0 without a response.
func (w *world) request(
	ctx context.Context, method, member, path string, body any,
) (code int, status wire.JobStatus, err error) {
	n := w.nodes[member]
	if n == nil {
		return 0, status, nil // there is no such controller
	}
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return 0, status, err
		}
		reader = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.ip+":"+servePort+path, reader)
	if err != nil {
		return 0, status, err
	}
	resp, err := w.users.Do(req)
	if err != nil {
		return 0, status, nil // an outcome that the steps expect
	}
	defer func() { _ = resp.Body.Close() }()
	unavailable := resp.StatusCode == http.StatusServiceUnavailable
	if unavailable && path != wire.PathHealth && resp.Header.Get("Retry-After") == "" {
		return 0, status, errNoRetryAfter
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, status, nil // as above
	}
	if resp.StatusCode < http.StatusMultipleChoices {
		err = json.Unmarshal(data, &status)
	}
	return resp.StatusCode, status, err
}
