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

// serve serves a fake on this machine and returns its address.
func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { _ = srv.Close() })
	return l.Addr().String()
}

// freeAddr returns an address that nobody listens on.
func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// controller starts a controller over fakes, in this process but on real sockets, and returns the users' address.
func controller(t *testing.T) string {
	t.Helper()
	front, _ := controllerWith(t, nil)
	return front
}

// controllerWith is controller with the operators' options; it returns the cluster address, too.
func controllerWith(t *testing.T, options []byte) (front, cluster string) {
	t.Helper()
	cloud := fake.NewCloud([]wire.MachineType{{Name: "small", CPUs: 8, MemoryGB: 16, BootS: 30, Price: 1, SpotPrice: 0.3,
		FetchGBPS: 1, Zones: []string{"a"}}}, time.Second, nil)
	front, cluster = freeAddr(t), freeAddr(t)
	set, err := settings.Parse(fmt.Appendf(nil, `member = "one"
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
`, front, cluster, serve(t, cloud), serve(t, fake.NewStore())), options)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		ended <- saffronbend.New(set, saffronbend.NewTCP(), slog.New(slog.NewTextHandler(io.Discard, nil))).Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	awaitListener(t, cluster)
	return front, cluster
}

// awaitListener waits until connections to an address are accepted.
func awaitListener(t *testing.T, addr string) {
	t.Helper()
	const pause, tries = 20 * time.Millisecond, 500
	for range tries {
		if c, err := net.Dial("tcp", addr); err == nil {
			_ = c.Close()
			return
		}
		time.Sleep(pause)
	}
	t.Fatalf("nobody listens on %s", addr)
}

// command runs the command line and returns what it prints, or how it fails.
func command(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var c cli
	exit := func(int) { t.Fatal("the command line ended the process") }
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

// A user's way through a job's life, against a controller that is only just starting: what
// it can't serve yet is repeated.
func TestJobsLife(t *testing.T) {
	server := "--server=" + controller(t)
	job := func(id, team string) string {
		path := filepath.Join(t.TempDir(), "job.json")
		body := fmt.Sprintf(`{"id":%q,"lane":"work","owner":%q,"shape":"batch","urgency":"normal",
"pieces":3,"cores":1,"cards":0,"memory_gb":1,"bundle":"img","size_gb":1,"together":false,"scatter":false,"loaners":true,
"guess_s":5,"snapshot_s":0,"stash_s":0}`, id, team)
		if err := os.WriteFile(path, []byte(body), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	for _, step := range []struct{ want, fails string }{
		{want: "job submit " + job("run-1", "red") + " => run-1 pending 0 done 0 running"},
		{want: "job submit " + job("run-1", "red") + " => run-1 pending 0 done 0 running"},
		{want: "job status run-1 => run-1 pending 0 done 0 running"},
		{want: "job withdraw run-1 => run-1 aborted"},
		{want: "job status run-1 => run-1 aborted"},
		{want: "job submit " + job("run-2", "blue"), fails: "unknown team"},
		{want: "job status run-3", fails: "no such job"},
		{want: "job status three", fails: `"three" is no job id: they are of the form run-000412`},
		{want: "job submit /no/such/file", fails: "the job can't be read: open /no/such/file: no such file or directory"},
		{want: "job status", fails: `expected "<id>"`},
	} {
		line, want, _ := strings.Cut(step.want, " => ")
		got, err := command(t, append(strings.Fields(line), server)...)
		if got != want || (err == nil) != (step.fails == "") || err != nil && err.Error() != step.fails {
			t.Errorf("%s: %q, %v", line, got, err)
		}
	}
}
