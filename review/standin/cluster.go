package standin

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"saffronbend/wire"
)

// Deployment is a small deployment: the settings that all controllers share, with the values of the site file
// javaguild-runner (3 controllers, two zones).
type Deployment struct {
	Root   string // the repository
	Record *Recorder
	Timing Timing
	Types  []wire.MachineType
	Teams  []string
	// ZoneOf is the zone of each controller.
	ZoneOf []string
	// PeerLink returns the link from one controller to another; nil: there is none, they are connected directly.
	PeerLink func(from, to int) *Link

	dir         string
	stateAddr   string
	cloudAddr   string
	Controllers []*Controller
	Store       *Store
	Cloud       *Cloud
}

// Controller is one controller's process.
type Controller struct {
	Name       string
	Addr       string // for users, workers and health checks
	Cluster    string // for the other controllers
	deployment *Deployment
	config     string
	process    *exec.Cmd
	exited     chan struct{}
}

// JavaGuild returns the deployment of the site file without links.
func JavaGuild(root string, record *Recorder) *Deployment {
	north, south := "hall-north", "hall-south"
	return &Deployment{
		Root: root, Record: record,
		Timing: Timing{Report: 1500 * time.Millisecond, Lease: 10 * time.Second, Cancel: 30 * time.Second},
		Types: []wire.MachineType{
			{Name: "bench-small", CPUs: 8, MemoryGB: 64, CacheGB: 70, FetchGBPS: 0.3, Price: 0.71, SpotPrice: 0.18,
				BootS: 40, Zones: []string{north, south}},
			{Name: "bench-large", CPUs: 64, MemoryGB: 256, CacheGB: 60, FetchGBPS: 0.4, Price: 4.5, SpotPrice: 1.19,
				BootS: 35, Zones: []string{south}},
		},
		Teams:  []string{"school-relations", "exercise-authors", "certification"},
		ZoneOf: []string{north, south, south},
	}
}

// Prepare starts the key-value store and the cloud, and writes the settings of the controllers. newWorker creates the
// workers of machines.
func (d *Deployment) Prepare() error {
	var err error
	if d.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return err
	}
	d.Store = NewStore()
	if d.stateAddr, err = serve(d.Store); err != nil {
		return err
	}
	d.Cloud = &Cloud{Types: d.Types, ListLag: 6 * time.Second, Record: d.Record}
	if d.cloudAddr, err = serve(d.Cloud); err != nil {
		return err
	}
	go d.Cloud.run()
	for i := range d.ZoneOf {
		controller := &Controller{Name: fmt.Sprintf("hearth-%d", i), deployment: d}
		if controller.Addr, err = freeAddress(); err != nil {
			return err
		}
		if controller.Cluster, err = freeAddress(); err != nil {
			return err
		}
		controller.config = filepath.Join(d.dir, controller.Name+".toml")
		d.Controllers = append(d.Controllers, controller)
	}
	for i, controller := range d.Controllers {
		text, err := d.settings(i)
		if err != nil {
			return err
		}
		if err := os.WriteFile(controller.config, []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// NewPlainWorkers makes the workers of machines reach the controllers directly. The machines have the given images.
func (d *Deployment) NewPlainWorkers(jobs *Jobs, images ...string) {
	d.Cloud.NewWorker = func(id wire.MachineID, machineType wire.MachineType, zone string, spot bool) (*Worker, error) {
		var nodes []Node
		for _, controller := range d.Controllers {
			nodes = append(nodes, Node{Name: controller.Name, Addr: controller.Addr})
		}
		return NewWorker(WorkerConfig{
			ID: id, Type: machineType, Zone: zone, Spot: spot, Nodes: nodes, Timing: d.Timing, Jobs: jobs, Record: d.Record,
			Images: images,
		})
	}
}

// serve serves a stand-in on a free loopback address.
func serve(handler http.Handler) (string, error) {
	listener, err := listen()
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String(), nil
}

// loopback returns an address without a port that no other process of the review uses at the same time.
func loopback() string {
	const firstByte, bytes = 64, 128
	id := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1", firstByte+id>>8%bytes, id%256)
}

// listen listens on a free loopback address.
func listen() (net.Listener, error) { return net.Listen("tcp", loopback()+":0") }

// freeAddress returns a loopback address that nobody listens on. Its port is none that the system gives to others.
func freeAddress() (string, error) {
	const tries, firstPort, ports = 100, 10_000, 20_000
	var err error
	for range tries {
		var listener net.Listener
		listener, err = net.Listen("tcp", fmt.Sprintf("%s:%d", loopback(), firstPort+rand.IntN(ports)))
		if err == nil {
			return listener.Addr().String(), listener.Close()
		}
	}
	return "", err
}

// over returns the address of the target, or that of a forwarder if there is a link.
func over(link *Link, target string) (string, error) {
	if link == nil {
		return target, nil
	}
	return link.Forward(target)
}

// settings returns the settings file of a controller.
func (d *Deployment) settings(i int) (string, error) {
	self := d.Controllers[i]
	var text strings.Builder
	fmt.Fprintf(&text, "member = %q\nlocation = %q\nserve_on = %q\ncluster_listen = %q\n",
		self.Name, d.ZoneOf[i], self.Addr, self.Cluster)
	for j, peer := range d.Controllers {
		if j == i {
			continue
		}
		var link *Link
		if d.PeerLink != nil {
			link = d.PeerLink(i, j)
		}
		addr, err := over(link, peer.Cluster)
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&text, "[[seeds]]\nmember = %q\nlocation = %q\naddr = %q\n", peer.Name, d.ZoneOf[j], addr)
	}
	fmt.Fprintf(&text, "[services]\ncloud = %q\nstate = %q\n", d.cloudAddr, d.stateAddr)
	text.WriteString("[deployment]\nzones = [\"hall-north\", \"hall-south\"]\nskew_ms = 25.0\n")
	fmt.Fprintf(&text, "nodes = %d\n", len(d.ZoneOf))
	for _, team := range d.Teams {
		fmt.Fprintf(&text, "[[deployment.teams]]\nname = %q\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n", team)
	}
	fmt.Fprintf(&text, "[deployment.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 35.0\ngang_peer_s = 5.0\n"+
		"cancel_s = %.1f\n", d.Timing.Report.Seconds(), d.Timing.Lease.Seconds(), d.Timing.Cancel.Seconds())
	text.WriteString("[deployment.state]\nrps = 200.0\nwrite_rps = 80.0\nvalue_kb = 8.0\ntxn_ops = 32\n" +
		"[deployment.cloud]\nrps = 8.0\nlist_lag_s = 6.0\n" +
		"[deployment.quota]\ncore_share = 0.12\nmem_mb = 98.0\nmax_connections = 900\n")
	return text.String(), nil
}

var errNoRunCommand = errors.New("deploy/service.toml has no run command")

// command returns the run command of the deploy file.
func (d *Deployment) command() ([]string, error) {
	content, err := os.ReadFile(filepath.Join(d.Root, "deploy", "service.toml"))
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(content)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), `run = "`); ok {
			return strings.Fields(strings.TrimSuffix(value, `"`)), nil
		}
	}
	return nil, errNoRunCommand
}

// Start starts the controller's process, with the command of the deploy file.
func (c *Controller) Start() error {
	command, err := c.deployment.command()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(c.config+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	process := exec.Command(command[0], append(command[1:], c.config)...)
	process.Dir = c.deployment.Root
	process.Env = append(os.Environ(), "LOG_LEVEL=debug")
	process.Stderr = log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // also if this process is killed
	if err := process.Start(); err != nil {
		return err
	}
	c.process, c.exited = process, make(chan struct{})
	c.deployment.Record.Printf("%s: started", c.Name)
	go func(exited chan struct{}) {
		err := process.Wait()
		c.deployment.Record.Printf("%s: has ended: %v", c.Name, err)
		close(exited)
	}(c.exited)
	return nil
}

// Kill kills the controller's process and waits for its end.
func (c *Controller) Kill() {
	if c.process == nil {
		return
	}
	_ = c.process.Process.Kill() // fails if the process has ended
	<-c.exited
	c.process = nil
}

// Log returns the controller's log.
func (c *Controller) Log() string {
	content, err := os.ReadFile(c.config + ".log")
	if err != nil {
		return ""
	}
	return string(content)
}

// HasLogged reports whether the controller's log contains a text.
func (c *Controller) HasLogged(text string) bool { return strings.Contains(c.Log(), text) }

// Close kills all controllers and removes the settings and logs.
func (d *Deployment) Close() {
	for _, controller := range d.Controllers {
		controller.Kill()
	}
	if keep := os.Getenv("REVIEW_KEEP_LOGS"); keep != "" {
		for _, controller := range d.Controllers {
			_ = os.WriteFile(filepath.Join(keep, controller.Name+".log"), []byte(controller.Log()), 0o600)
		}
	}
	if d.dir != "" {
		_ = os.RemoveAll(d.dir)
	}
}

// StartAll starts all controllers, the first one first, so that it leads, and waits until all take requests and the
// others follow. It reports whether they do within the timeout.
func (d *Deployment) StartAll(timeout time.Duration) error {
	if err := d.Controllers[0].Start(); err != nil {
		return err
	}
	first := d.Controllers[0]
	if !Within(timeout, func() bool { return first.HasLogged("msg=\"term started\"") && first.Healthy() }) {
		return errors.New("the first controller does not lead")
	}
	for _, controller := range d.Controllers[1:] {
		if err := controller.Start(); err != nil {
			return err
		}
	}
	for _, controller := range d.Controllers[1:] {
		subscribed := "follower=" + controller.Name
		if !Within(timeout, func() bool { return controller.Healthy() && first.HasLogged(subscribed) }) {
			return fmt.Errorf("%s does not follow", controller.Name)
		}
	}
	return nil
}

// Within waits until a condition holds, and reports whether it did before the timeout.
func Within(timeout time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(workerStep) {
		if condition() {
			return true
		}
	}
	return condition()
}
