package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kong"

	"saffronbend"
	"saffronbend/internal/fake"
	"saffronbend/internal/settings"
	"saffronbend/wire"
)

// startServer starts an HTTP server on the loopback interface and returns its address.
func startServer(t *testing.T, handler http.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: handler}
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { _ = srv.Close() })
	return l.Addr().String()
}

// freeAddr returns a loopback address on which no process listens.
func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// startController starts a controller in this process, with fake services but real sockets, and returns its address for
// users.
func startController(t *testing.T) string {
	t.Helper()
	userAddr, _ := startControllerWith(t, nil)
	return userAddr
}

// startControllerWith is like startController, with the given operators' options. It also returns the cluster address.
func startControllerWith(t *testing.T, options []byte) (userAddr, clusterAddr string) {
	t.Helper()
	cloud := fake.NewCloud([]wire.MachineType{{Name: "small", CPUs: 8, MemoryGB: 16, BootS: 30, Price: 1, SpotPrice: 0.3,
		FetchGBPS: 1, Zones: []string{"a"}}}, time.Second, nil)
	userAddr, clusterAddr = freeAddr(t), freeAddr(t)
	cfg, err := settings.Parse(fmt.Appendf(nil, `member = "one"
location = "a"
serve_on = %q
cluster_listen = %q
[services]
cloud = %q
state = %q
[deployment]
nodes = 1
zones = ["a"]
[[deployment.teams]]
name = "red"
[deployment.workers]
report_s = 2.0
lease_s = 10.0
cancel_s = 30.0
[deployment.state]
rps = 200.0
write_rps = 50.0
value_kb = 4.0
txn_ops = 8
[deployment.cloud]
rps = 5.0
list_lag_s = 1.0
[deployment.quota]
core_share = 1.0
mem_mb = 200.0
max_connections = 200
`, userAddr, clusterAddr, startServer(t, cloud), startServer(t, fake.NewStore())), options)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		ended <- saffronbend.New(cfg, saffronbend.NewTCP(), slog.New(slog.NewTextHandler(io.Discard, nil))).Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	awaitListener(t, clusterAddr)
	return userAddr, clusterAddr
}

// awaitListener waits until an address accepts connections.
func awaitListener(t *testing.T, addr string) {
	t.Helper()
	const retryInterval, maxAttempts = 20 * time.Millisecond, 500
	for range maxAttempts {
		if c, err := net.Dial("tcp", addr); err == nil {
			_ = c.Close()
			return
		}
		time.Sleep(retryInterval)
	}
	t.Fatalf("no listener on %s", addr)
}

// runCommand runs a command line and returns its trimmed standard output and its error.
func runCommand(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var c cli
	exit := func(int) { t.Fatal("the command line exited the process") }
	p, err := kong.New(&c, kong.Name("saffronbend"), kong.Vars{"version": "x"}, kong.Exit(exit))
	if err != nil {
		t.Fatal(err)
	}
	k, err := p.Parse(args)
	if err != nil {
		return "", err
	}
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	stdout := os.Stdout
	os.Stdout = w
	err = k.Run(&c)
	os.Stdout = stdout
	_ = w.Close()
	var out bytes.Buffer
	_, _ = out.ReadFrom(r)
	return strings.TrimSpace(out.String()), err
}

// Users can submit, query and cancel jobs. The controller has only just started, so requests that it cannot serve yet
// are retried.
func TestJobLifecycle(t *testing.T) {
	server := "--server=" + startController(t)
	writeJob := func(id, team string) string {
		path := filepath.Join(t.TempDir(), "job.json")
		body := fmt.Sprintf(`{"id":%q,"lane":"work","owner":%q,"shape":"batch","urgency":"normal",
"pieces":3,"cores":1,"cards":0,"memory_gb":1,"bundle":"img","size_gb":1,"together":false,"scatter":false,"loaners":true,
"guess_s":5,"snapshot_s":0,"stash_s":0}`, id, team)
		if err := os.WriteFile(path, []byte(body), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	for _, step := range []struct{ session, wantErr string }{
		{session: "job submit " + writeJob("run-1", "red") + " => run-1 pending 0 done 0 running"},
		{session: "job submit " + writeJob("run-1", "red") + " => run-1 pending 0 done 0 running"},
		{session: "job status run-1 => run-1 pending 0 done 0 running"},
		{session: "job withdraw run-1 => run-1 aborted"},
		{session: "job status run-1 => run-1 aborted"},
		{session: "job submit " + writeJob("run-2", "blue"), wantErr: "unknown team"},
		{session: "job status run-3", wantErr: "no such job"},
		{session: "job status three", wantErr: `"three" is no job id: they are of the form run-000412`},
		{session: "job submit /no/such/file",
			wantErr: "the job can't be read: open /no/such/file: no such file or directory"},
		{session: "job status", wantErr: `expected "<id>"`},
	} {
		command, want, _ := strings.Cut(step.session, " => ")
		got, err := runCommand(t, append(strings.Fields(command), server)...)
		if got != want || (err == nil) != (step.wantErr == "") || err != nil && err.Error() != step.wantErr {
			t.Errorf("%s: got output %q and error %v, want %q and error %q", command, got, err, want, step.wantErr)
		}
	}
}
