// Package settings reads and checks the platform's settings file (TOML) and the
// operators' options (protobuf text format).
package settings

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"

	"github.com/BurntSushi/toml"
	"google.golang.org/protobuf/encoding/prototext"

	"saffronbend/internal/micros"
	"saffronbend/internal/settings/optionspb"
	"saffronbend/wire"
)

// Peer is another controller.
type Peer struct {
	Member string `toml:"member"`
	Zone   string `toml:"location"`
	Addr   string `toml:"addr"`
}

// Team has a guarantee and a limit; 0 means none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is one of the users' aims.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	Share   float64 `toml:"share"`
	Times   float64 `toml:"times"`
	WithinS float64 `toml:"within_s"`
}

// Workers holds the worker protocol's times.
type Workers struct {
	ReportS float64 `toml:"report_s"`
	LeaseS  float64 `toml:"lease_s"`
	CancelS float64 `toml:"cancel_s"`
	// GangWaitS is how long a task waits for the others of its gang, GangPeerS how soon
	// they notice that it is gone. Absent: they follow from the lease.
	GangWaitS *float64 `toml:"gang_wait_s"`
	GangPeerS *float64 `toml:"gang_peer_s"`
}

// State holds the state service's limits.
type StoreLimits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
	// Next holds the limits that will come at a moment that nobody announces; what is
	// absent stays.
	Upcoming UpcomingStoreLimits `toml:"next"`
}

// NextState holds limits of the state service that will come.
type UpcomingStoreLimits struct {
	RPS      *float64 `toml:"rps"`
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// Within gives the limits that hold now and will hold: the smaller of both. Nobody tells
// when they change, and what is written within them suits either time.
func (s StoreLimits) Effective() StoreLimits {
	if n := s.Upcoming.RPS; n != nil {
		s.RPS = min(s.RPS, *n)
	}
	if n := s.Upcoming.WriteRPS; n != nil {
		s.WriteRPS = min(s.WriteRPS, *n)
	}
	if n := s.Upcoming.ValueKB; n != nil {
		s.ValueKB = min(s.ValueKB, *n)
	}
	if n := s.Upcoming.TxnOps; n != nil {
		s.TxnOps = min(s.TxnOps, *n)
	}
	s.Upcoming = UpcomingStoreLimits{}
	return s
}

// Cloud holds the cloud's limits.
type Cloud struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// Limits is what one controller may use.
type Limits struct {
	CoreShare      float64 `toml:"core_share"`
	MemoryMB       float64 `toml:"mem_mb"`
	MaxConnections int     `toml:"max_connections"`
}

// Deployment is the shared part of the settings.
type Deployment struct {
	Controllers int         `toml:"nodes"`
	Zones       []string    `toml:"zones"`
	SkewMillis  float64     `toml:"skew_ms"`
	Teams       []Team      `toml:"teams"`
	Objectives  []Objective `toml:"objectives"`
	Workers     Workers     `toml:"workers"`
	State       StoreLimits `toml:"state"`
	Cloud       Cloud       `toml:"cloud"`
	Limits      Limits      `toml:"quota"`
}

// Services are the addresses of what the controllers lean on.
type Services struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"`
}

// Settings is everything that a controller is told.
type Settings struct {
	Member     string     `toml:"member"`
	Zone       string     `toml:"location"`
	Listen     string     `toml:"serve_on"`
	PeerListen string     `toml:"cluster_listen"`
	Peers      []Peer     `toml:"seeds"`
	Services   Services   `toml:"services"`
	Deployment Deployment `toml:"deployment"`
	Tuning     Tuning     `toml:"-"`
}

// Tuning is what operators may set, with defaults filled in.
type Tuning struct {
	MinLocality       float64
	MaxSkip           micros.Duration
	RunHistory        int
	LeaseSlack        micros.Duration
	FirstLease        micros.Duration
	LeaseGrace        micros.Duration
	RoundBudget       micros.Duration
	PreemptAfter      micros.Duration
	MaxMachines       int
	IdleTimeout       micros.Duration
	BootTimeoutFactor float64
	SilenceTimeout    micros.Duration
	ScaleOutAhead     micros.Duration
	ReserveAfter      micros.Duration
	SpareShare        float64
	Drains            Drains
	Rebalancing       Rebalancing
}

// Load reads the settings and, where a path is given, the options.
func Load(path, optionsPath string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	var options []byte
	if optionsPath != "" {
		if options, err = os.ReadFile(optionsPath); err != nil {
			return nil, fmt.Errorf("options: %w", err)
		}
	}
	return Parse(data, options)
}

// Parse reads settings and options from memory and checks them.
func Parse(data, options []byte) (*Settings, error) {
	s := new(Settings)
	if err := toml.Unmarshal(data, s); err != nil {
		var pe toml.ParseError
		if errors.As(err, &pe) {
			return nil, fmt.Errorf("settings: line %d: %s", pe.Position.Line, pe.Message)
		}
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	var o optionspb.Options
	if err := prototext.Unmarshal(options, &o); err != nil {
		return nil, fmt.Errorf("options: %w", err)
	}
	if err := s.tune(&o); err != nil {
		return nil, fmt.Errorf("options: %w", err)
	}
	return s, nil
}

func (s *Settings) check() error {
	if s.Member == "" {
		return errors.New("member is missing")
	}
	addrs := []struct{ name, v string }{
		{"serve_on", s.Listen}, {"cluster_listen", s.PeerListen},
		{"services.cloud", s.Services.Cloud}, {"services.state", s.Services.State},
	}
	seen := map[string]bool{s.Member: true}
	for _, p := range s.Peers {
		if p.Member == "" {
			return errors.New("a seed has no member name")
		}
		if seen[p.Member] {
			return fmt.Errorf("member %q appears twice", p.Member)
		}
		seen[p.Member] = true
		addrs = append(addrs, struct{ name, v string }{"seeds." + p.Member, p.Addr})
	}
	for _, a := range addrs {
		if _, err := netip.ParseAddrPort(a.v); err != nil {
			return fmt.Errorf("%s: %q is not an address with a port", a.name, a.v)
		}
	}
	d := &s.Deployment
	if len(d.Teams) == 0 {
		return errors.New("deployment.teams is empty")
	}
	teams := map[string]bool{}
	for _, t := range d.Teams {
		if t.Name == "" || teams[t.Name] {
			return fmt.Errorf("deployment.teams: name %q is empty or appears twice", t.Name)
		}
		teams[t.Name] = true
		if t.CPUs < 0 || t.CPUsMax < 0 || t.GPUs < 0 || t.GPUsMax < 0 {
			return fmt.Errorf("deployment.teams: %q has a negative amount", t.Name)
		}
	}
	positive := []struct {
		name string
		v    float64
	}{
		{"workers.report_s", d.Workers.ReportS}, {"workers.lease_s", d.Workers.LeaseS},
		{"workers.cancel_s", d.Workers.CancelS}, {"state.rps", d.State.RPS},
		{"state.write_rps", d.State.WriteRPS}, {"state.value_kb", d.State.ValueKB},
		{"state.txn_ops", float64(d.State.TxnOps)}, {"cloud.rps", d.Cloud.RPS},
		{"quota.core_share", d.Limits.CoreShare}, {"quota.mem_mb", d.Limits.MemoryMB},
		{"quota.max_connections", float64(d.Limits.MaxConnections)},
	}
	optional := []struct {
		name string
		v    *float64
	}{
		{"workers.gang_wait_s", d.Workers.GangWaitS}, {"workers.gang_peer_s", d.Workers.GangPeerS},
		{"state.next.rps", d.State.Upcoming.RPS}, {"state.next.write_rps", d.State.Upcoming.WriteRPS}, {"state.next.value_kb", d.State.Upcoming.ValueKB},
	}
	for _, o := range optional {
		if o.v != nil && !(*o.v > 0) {
			return fmt.Errorf("deployment.%s must be above 0", o.name)
		}
	}
	for _, p := range positive {
		if !(p.v > 0) {
			return fmt.Errorf("deployment.%s must be above 0", p.name)
		}
	}
	if d.Limits.MemoryMB < leastMemoryMB {
		return fmt.Errorf("deployment.quota.mem_mb must be at least %d: the program itself needs as much", leastMemoryMB)
	}
	if s.servableMachines() < leastMachines {
		return fmt.Errorf("deployment.quota.core_share must be at least %.4f: less does not suffice for the reports of %d machines",
			leastMachines*reportCost/d.Workers.ReportS, leastMachines)
	}
	if d.Limits.MaxConnections < leastConnections {
		return fmt.Errorf("deployment.quota.max_connections must be at least %d: none would be left for workers", leastConnections)
	}
	for _, l := range []struct {
		name string
		StoreLimits
	}{{"state", d.State}, {"state.next", d.State.Effective()}} {
		if l.TxnOps < 2 {
			return fmt.Errorf("deployment.%s.txn_ops must be at least 2: a job's two records change together", l.name)
		}
		if l.ValueKB < 1 {
			return fmt.Errorf("deployment.%s.value_kb must be at least 1: a description and a record of progress need as much", l.name)
		}
	}
	if d.Cloud.ListLagS < 0 {
		return errors.New("deployment.cloud.list_lag_s must not be negative")
	}
	if d.Workers.LeaseS <= d.Workers.ReportS {
		return errors.New("deployment.workers.lease_s must be longer than report_s")
	}
	if d.Workers.CancelS <= d.Workers.LeaseS {
		return errors.New("deployment.workers.cancel_s must be longer than lease_s")
	}
	if stale := s.MaxStaleness(); stale < leastStaleness {
		return fmt.Errorf("deployment.workers.cancel_s is too short: beyond lease_s it leaves %.2f s for news of cancellations to reach the leader, %.0f are needed",
			stale.Seconds(), leastStaleness.Seconds())
	}
	if g := d.Workers.GangWaitS; g != nil && *g < d.Workers.ReportS {
		return errors.New("deployment.workers.gang_wait_s must not be shorter than report_s: a gang would give up before anything is known of it")
	}
	return nil
}

// WatchTimeout is how long the leader's watch of the jobs waits for a change. While the store serves, what the
// leader knows of cancellations is never much older than twice this.
const WatchTimeout = micros.Second

// In the worst case the leader's watch needs two timeouts and a slow response to report a cancellation; with less
// than this, leases would run out while nothing is wrong.
const leastStaleness = 3 * WatchTimeout

// MaxStaleness is how old the news of cancellations may be when a worker's lease is renewed. A
// job cancelled just after them is off the worker when that lease has run out, and within cancel_s
// by the true time: both clocks may be slow, and a worker's timers fire in steps.
func (s *Settings) MaxStaleness() micros.Duration {
	const drift, steps = 1000, micros.Second
	cancel := micros.Seconds(s.Deployment.Workers.CancelS)
	return cancel - cancel/drift - s.WorkerLease() - steps
}

// GangWait is how long a task waits for the others of its gang.
func (s *Settings) GangWaitTimeout() micros.Duration {
	return s.gangTime(s.Deployment.Workers.GangWaitS, 3)
}

// GangPeer is how soon the tasks of a gang notice that one of them is gone, and how long one
// that has saved waits for the others.
func (s *Settings) GangPeerTimeout() micros.Duration {
	return s.gangTime(s.Deployment.Workers.GangPeerS, 0.5)
}

func (s *Settings) gangTime(given *float64, leases float64) micros.Duration {
	if given != nil {
		return micros.Seconds(*given)
	}
	return s.WorkerLease().Scale(leases)
}

// What a controller needs before it serves anybody, and for each machine.
const (
	leastMemoryMB, memoryMBPerMachine = 16, 0.07
	leastConnections                  = 64
)

// reportCost is the processor time in seconds that a worker's report costs the leader, measured on loopback with
// the server's part in HTTP and all the system calls. Bursts, takeovers and placement come on top, in part at other reports' expense.
const reportCost = 120e-6

// leastMachines is how many machines a controller must be able to lead.
const leastMachines = 10

// servableMachines is how many machines can report as often as they should to a controller with its share of a processor.
func (s *Settings) servableMachines() int {
	return int(s.Deployment.Limits.CoreShare * s.Deployment.Workers.ReportS / reportCost)
}

// connectableMachines is how many machines can keep a connection to the leader without users being short of them.
func (s *Settings) connectableMachines() int { return s.Deployment.Limits.MaxConnections * 3 / 4 }

// listableMachines is how many machines the cloud can list within its own lag, when the lists take a quarter of the requests
// that it allows.
func (s *Settings) listableMachines() int {
	const part = 4
	pages := s.Deployment.Cloud.RPS * max(1, 2*s.Deployment.Cloud.ListLagS) / part
	return wire.MachinePageSize * max(1, int(pages))
}

// memorableMachines is how many machines a leader can keep in its share of the memory.
func (s *Settings) memorableMachines() int {
	return max(0, int((s.Deployment.Limits.MemoryMB*memoryShare-leastMemoryMB)/memoryMBPerMachine))
}

// Capacity is how many machines one of the platform's limits suffices for.
type Capacity struct {
	Setting  string
	Machines int
}

// Capacities gives for how many machines each of the platform's limits suffices, the tightest first.
func (s *Settings) Capacities() []Capacity {
	out := []Capacity{
		{"quota.max_connections", s.connectableMachines()},
		{"quota.core_share", s.servableMachines()},
		{"quota.mem_mb", s.memorableMachines()},
		{"cloud.rps", s.listableMachines()},
	}
	slices.SortStableFunc(out, func(a, b Capacity) int { return cmp.Compare(a.Machines, b.Machines) })
	return out
}

// Tight says where the settings work but leave little room.
func (s *Settings) Warnings() []string {
	var out []string
	for _, c := range s.Capacities() {
		if s.Tuning.MaxMachines > c.Machines {
			out = append(out, fmt.Sprintf("max_machines is %d: %s suffices for %d", s.Tuning.MaxMachines, c.Setting, c.Machines))
		}
	}
	// A stop may have to wait for a report, and a direct order that gets no answer takes 2 s.
	if peer, need := s.GangPeerTimeout(), micros.Seconds(1.25*s.Deployment.Workers.ReportS)+micros.Second; peer < need {
		out = append(out, fmt.Sprintf("workers.gang_peer_s is %g, less than the longest time between two reports and a second (%g): a gang with a machine that direct orders don't reach can't save", peer.Seconds(), need.Seconds()))
	}
	return out
}

// memoryShare is the part of the memory limit that the runtime is told of; the rest is for
// its own needs and the kernel's buffers.
const memoryShare = 0.7

// fullShare is the part of the memory limit above which nothing new is taken on: the collector has not kept the process
// within what the runtime was told of, and the platform ends one that exceeds the limit.
const fullShare = 0.85

// MemoryFull is how much memory the process may hold, in bytes, while it takes on anything new.
func (s *Settings) MemoryAdmissionLimit() uint64 {
	return uint64(s.Deployment.Limits.MemoryMB * fullShare * (1 << 20))
}

// Memory is how much the runtime may use, in bytes.
func (s *Settings) RuntimeMemoryLimit() int64 {
	return int64(s.Deployment.Limits.MemoryMB * memoryShare * (1 << 20))
}

// optionChecker gives the values of options that may be left out, and gathers what is wrong with them.
type optionChecker struct{ errs []error }

// mostOptionS bounds times that are given in seconds.
const mostOptionS = 86400

// number gives a number, or its default if it is left out.
func (c *optionChecker) number(p *float64, def, low, high float64, name string) float64 {
	if p == nil {
		return def
	}
	if !(*p >= low && *p <= high) {
		c.errs = append(c.errs, fmt.Errorf("%s must be between %g and %g", name, low, high))
	}
	return *p
}

// count gives a number of at least one.
func (c *optionChecker) count(p *uint32, def, high uint32, name string) int {
	if p == nil {
		return int(def)
	}
	if *p < 1 || *p > high {
		c.errs = append(c.errs, fmt.Errorf("%s must be between 1 and %d", name, high))
	}
	return int(*p)
}

// span gives a time.
func (c *optionChecker) span(p *float64, def float64, name string) micros.Duration {
	return micros.Seconds(c.number(p, def, 0, mostOptionS, name))
}

// tune fills in the defaults. Those that the design does not name are derived from
// the platform's settings.
func (s *Settings) tune(o *optionspb.Options) error {
	lease := s.Deployment.Workers.LeaseS
	var c optionChecker
	s.Tuning = Tuning{
		MinLocality:       c.number(o.MinLocality, 0.5, 0, 1, "min_locality"),
		MaxSkip:           c.span(o.SkipS, 10, "skip_s"),
		RunHistory:        c.count(o.History, 10, 1000, "history"),
		LeaseSlack:        c.span(o.SlackS, 5, "slack_s"),
		FirstLease:        c.span(o.FirstLeaseS, 100, "first_lease_s"),
		LeaseGrace:        c.span(o.GraceS, 20, "grace_s"),
		RoundBudget:       c.span(o.RoundBudgetS, 0.02, "round_budget_s"),
		PreemptAfter:      c.span(o.PreemptAfterS, 1, "preempt_after_s"),
		MaxMachines:       c.count(o.MaxMachines, uint32(max(1, min(s.connectableMachines(), s.servableMachines()))), 100000, "max_machines"),
		IdleTimeout:       c.span(o.IdleReturnS, 30, "idle_return_s"),
		BootTimeoutFactor: c.number(o.BootPatience, 3, 1, 100, "boot_patience"),
		SilenceTimeout:    c.span(o.SilentReturnS, 3*lease, "silent_return_s"),
		ScaleOutAhead:     c.span(o.HireAheadS, 10, "hire_ahead_s"),
		SpareShare:        c.number(o.Reserve, 1.5, 0, 10, "reserve"),
		ReserveAfter:      c.span(o.KeepAfterS, 45, "keep_after_s"),
	}
	drains, err := s.drains(o.GetDrains())
	s.Tuning.Drains = drains
	spread, spreadErr := s.spread(o.GetSpread(), drains)
	s.Tuning.Rebalancing = spread
	return errors.Join(append(c.errs, err, spreadErr)...)
}

// Share is the part of a limit that one controller may count on.
func (s *Settings) PerController(limit float64) float64 {
	return limit / float64(max(1, s.Deployment.Controllers, len(s.Peers)+1))
}

// Lease is how long a worker lives without an answer.
func (s *Settings) WorkerLease() micros.Duration { return micros.Seconds(s.Deployment.Workers.LeaseS) }

// Urgent gives the classes that have an aim for how soon their tasks start.
func (s *Settings) UrgentClasses() map[string]bool {
	u := map[string]bool{}
	for _, o := range s.Deployment.Objectives {
		if o.Kind == "wait" {
			u[o.Class] = true
		}
	}
	return u
}
