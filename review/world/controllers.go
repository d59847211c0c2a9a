package world

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Site is the deployment of a case: the settings that all controllers share.
type Site struct {
	Zones           []string
	Teams           string // TOML of the teams
	ReportS, LeaseS float64
	CancelS         float64
	State           StoreLimits
	CloudRPS, LagS  float64
	SkewMS          float64
	Quota           string // TOML of the quota
}

// Controller is a controller process.
type Controller struct {
	Name string
	Addr string // for users and workers
	Peer string // for the other controllers

	settings string
	logFile  string
	command  []string
	record   *Record

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

// Controllers starts the controllers of a site in a folder, each with settings of its own. peerAddr returns the address
// at which one controller reaches another; nil: the other's own.
func Controllers(
	record *Record, site Site, root, folder string, storeAddr, cloudAddr func(name string) string,
	peerAddr func(from, to *Controller) string,
) ([]*Controller, error) {
	command, err := runCommand(root)
	if err != nil {
		return nil, err
	}
	const count = 3
	var controllers []*Controller
	for i := range count {
		addr, err := freeAddr()
		if err != nil {
			return nil, err
		}
		peer, err := freeAddr()
		if err != nil {
			return nil, err
		}
		name := fmt.Sprintf("hearth-%d", i)
		controllers = append(controllers, &Controller{
			Name: name, Addr: addr, Peer: peer, record: record, command: command,
			settings: filepath.Join(folder, name+".toml"), logFile: filepath.Join(folder, name+".log"),
		})
	}
	for i, c := range controllers {
		var text strings.Builder
		fmt.Fprintf(&text, "member = %q\nlocation = %q\nserve_on = %q\ncluster_listen = %q\n",
			c.Name, site.Zones[i%len(site.Zones)], c.Addr, c.Peer)
		for j, other := range controllers {
			if other == c {
				continue
			}
			addr := other.Peer
			if peerAddr != nil {
				addr = peerAddr(c, other)
			}
			fmt.Fprintf(&text, "[[seeds]]\nmember = %q\nlocation = %q\naddr = %q\n", other.Name,
				site.Zones[j%len(site.Zones)], addr)
		}
		fmt.Fprintf(&text, "[services]\ncloud = %q\nstate = %q\n", cloudAddr(c.Name), storeAddr(c.Name))
		text.WriteString(site.toml(count))
		if err := os.WriteFile(c.settings, []byte(text.String()), 0o600); err != nil {
			return nil, err
		}
	}
	return controllers, nil
}

func (s *Site) toml(nodes int) string {
	zones := make([]string, len(s.Zones))
	for i, zone := range s.Zones {
		zones[i] = fmt.Sprintf("%q", zone)
	}
	return fmt.Sprintf(`[deployment]
nodes = %d
zones = [%s]
skew_ms = %.1f
%s
[deployment.workers]
report_s = %.1f
lease_s = %.1f
gang_wait_s = 35.0
gang_peer_s = 5.0
cancel_s = %.1f
[deployment.state]
rps = %.1f
write_rps = %.1f
value_kb = %.1f
txn_ops = %d
[deployment.cloud]
rps = %.1f
list_lag_s = %.1f
[deployment.quota]
%s
`, nodes, strings.Join(zones, ", "), s.SkewMS, s.Teams, s.ReportS, s.LeaseS, s.CancelS, s.State.RPS, s.State.WriteRPS,
		s.State.ValueKB, s.State.TxnOps, s.CloudRPS, s.LagS, s.Quota)
}

var errNoRun = errors.New("the deploy file has no run command")

// runCommand returns the command of the deploy file that starts a controller.
func runCommand(root string) ([]string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "service.toml"))
	if err != nil {
		return nil, err
	}
	found := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if found == nil {
		return nil, errNoRun
	}
	command := strings.Fields(string(found[1]))
	command[0] = filepath.Join(root, command[0])
	return command, nil
}

func freeAddr() (string, error) {
	listener, err := listenLoopback()
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// Start starts the process.
func (c *Controller) Start() error {
	logs, err := os.OpenFile(c.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logs.Close() }()
	process := exec.Command(c.command[0], append(append([]string(nil), c.command[1:]...), c.settings)...)
	process.Env = append(os.Environ(), "LOG_LEVEL=debug")
	process.Stderr, process.Stdout = logs, logs
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	c.mu.Lock()
	c.process, c.ended = process, ended
	c.mu.Unlock()
	c.record.Add("%s: started, process %d", c.Name, process.Process.Pid)
	go func() {
		err := process.Wait()
		c.record.Add("%s: process %d has ended: %v", c.Name, process.Process.Pid, err)
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the process.
func (c *Controller) Signal(signal syscall.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.process != nil {
		c.record.Add("%s: signal: %v", c.Name, signal)
		_ = c.process.Process.Signal(signal)
	}
}

// Kill kills the process and waits for its end.
func (c *Controller) Kill() {
	c.mu.Lock()
	process, ended := c.process, c.ended
	c.process = nil
	c.mu.Unlock()
	if process == nil {
		return
	}
	c.record.Add("%s: killed", c.Name)
	_ = process.Process.Kill()
	<-ended
}

// Healthy reports whether the controller answers its health check.
func (c *Controller) Healthy() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + c.Addr + "/healthz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Proxy is a link from one process to another that can be cut: data is then held, and new connections get no answer.
type Proxy struct {
	listener net.Listener
	target   string
	network  *Network
	name     string
}

// NewProxy starts a proxy to a target. It is cut with the host of its name in the network.
func NewProxy(network *Network, name, target string) (*Proxy, error) {
	listener, err := listenLoopback()
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, network: network, name: name}
	go p.run()
	return p, nil
}

// Addr returns the address of the proxy.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

func (p *Proxy) run() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(conn)
	}
}

func (p *Proxy) forward(client net.Conn) {
	p.network.await(p.name, nil)
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		if tcp, ok := client.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = client.Close()
		return
	}
	go p.copy(server, client)
	p.copy(client, server)
}

// copy copies data in order; while the link is cut, it is held, and so is the end of the connection.
func (p *Proxy) copy(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		p.network.await(p.name, nil)
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				break
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				break
			}
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
	_ = to.Close()
	_ = from.Close()
}

// WaitFor waits until a condition holds, and reports whether it did within the time.
func WaitFor(ctx context.Context, limit time.Duration, condition func() bool) bool {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if condition() {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}
