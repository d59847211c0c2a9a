// Package settings reads and checks what a controller is configured with: the platform's settings file (TOML) and the
// operators' options (protobuf text format), which the file options.proto describes.
//
// It owns the names, bounds and defaults of all settings and options, and what follows from them alone: the limits that
// hold for one controller, the timeouts that the protocol leaves to the scheduler, and the number of machines that the
// platform's limits suffice for. The command reads them once, at its start; the root package and the subsystems below
// it receive the result or a part of it.
//
// It never corrects a value that is out of bounds, but refuses it; it never changes settings after Parse has returned
// them; and apart from Load it does no I/O.
package settings

import (
	"errors"
	"fmt"
	"os"

	"github.com/BurntSushi/toml"
	"google.golang.org/protobuf/encoding/prototext"

	"saffronbend/internal/settings/optionspb"
)

// Settings is the configuration of one controller. The fields of the file are those of the platform's deployment
// document; Tuning holds the operators' options.
type Settings struct {
	// Member is the controller's name, unique among the controllers.
	Member string `toml:"member"`
	// Zone is where the controller runs.
	Zone string `toml:"location"`
	// Listen is the IP address and port that users, workers and health checks connect to.
	Listen string `toml:"serve_on"`
	// PeerListen is the IP address and port that the other controllers and operators connect to.
	PeerListen string     `toml:"cluster_listen"`
	Peers      []Peer     `toml:"seeds"`
	Services   Services   `toml:"services"`
	Deployment Deployment `toml:"deployment"`
	Tuning     Tuning     `toml:"-"`
}

// Peer is another controller.
type Peer struct {
	Member string `toml:"member"`
	Zone   string `toml:"location"`
	Addr   string `toml:"addr"` // IP address and port
}

// Services are the addresses of the services that the controllers depend on, each an IP address with a port.
type Services struct {
	Cloud string `toml:"cloud"` // where machines are rented
	State string `toml:"state"` // the consensus-backed key-value store
}

// Deployment is the part of the settings that all controllers share.
type Deployment struct {
	// Controllers is how many controllers there are, this one among them.
	Controllers int         `toml:"nodes"`
	Zones       []string    `toml:"zones"`
	SkewMillis  float64     `toml:"skew_ms"` // bound of the wall clock's difference from true time, in milliseconds
	Teams       []Team      `toml:"teams"`
	Objectives  []Objective `toml:"objectives"`
	Workers     Workers     `toml:"workers"`
	State       StoreLimits `toml:"state"`
	Cloud       Cloud       `toml:"cloud"`
	Limits      Limits      `toml:"quota"`
}

// Team is a team's quota of processors and accelerators: a guarantee and a limit of each; 0 means none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`     // guaranteed
	CPUsMax float64 `toml:"cpus_max"` // limit
	GPUs    float64 `toml:"gpus"`     // guaranteed
	GPUsMax float64 `toml:"gpus_max"` // limit
}

// Objective is a service-level objective of a class of jobs.
type Objective struct {
	Kind    string  `toml:"kind"`     // what is measured, such as "deadline" or "wait"
	Class   string  `toml:"class"`    // the class of jobs that it is for
	Share   float64 `toml:"share"`    // the part of the class that must meet it, 0 to 1
	Times   float64 `toml:"times"`    // for "deadline": how many times the time until it they may take
	WithinS float64 `toml:"within_s"` // for "wait": how many seconds their tasks may wait
}

// objectiveWait is the kind of the objectives for how soon the tasks of a class start.
const objectiveWait = "wait"

// Workers holds the times of the workers' protocol, in seconds.
type Workers struct {
	ReportS float64 `toml:"report_s"` // between two heartbeats of a worker
	LeaseS  float64 `toml:"lease_s"`  // how long a worker runs on without an answer
	CancelS float64 `toml:"cancel_s"` // in which all tasks of a cancelled job must be gone
	// GangWaitS is how long a task waits for the others of its gang, GangPeerS how soon they notice that it is gone.
	// nil: they follow from the lease.
	GangWaitS *float64 `toml:"gang_wait_s"`
	GangPeerS *float64 `toml:"gang_peer_s"`
}

// Cloud holds the limits of the cloud's interface.
type Cloud struct {
	RPS      float64 `toml:"rps"`        // requests a second, of all controllers together
	ListLagS float64 `toml:"list_lag_s"` // how old the list of machines may be, in seconds
}

// Load reads the settings from a file and, unless optionsPath is empty, the options from another, and checks both.
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

// Parse reads settings and options from memory, checks them and fills in the options' defaults. Without options all
// of them have their defaults. Settings that are unknown are ignored, as the platform may add some; unknown options
// are refused. Its errors wrap one InvalidValueError for the first setting, or one for each option, that has a value
// that is not allowed.
func Parse(data, options []byte) (*Settings, error) {
	s := new(Settings)
	if err := toml.Unmarshal(data, s); err != nil {
		var parseError toml.ParseError
		if errors.As(err, &parseError) {
			// The text of a ParseError is a page with an extract of the file, too long for a log line.
			return nil, fmt.Errorf("settings: line %d: %s", parseError.Position.Line, parseError.Message)
		}
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	var parsed optionspb.Options
	if err := prototext.Unmarshal(options, &parsed); err != nil {
		return nil, fmt.Errorf("options: %w", err)
	}
	if err := s.applyOptions(&parsed); err != nil {
		return nil, fmt.Errorf("options: %w", err)
	}
	return s, nil
}

// UrgentClasses returns the classes that have an objective for how soon their tasks start.
func (s *Settings) UrgentClasses() map[string]bool {
	urgent := map[string]bool{}
	for _, objective := range s.Deployment.Objectives {
		if objective.Kind == objectiveWait {
			urgent[objective.Class] = true
		}
	}
	return urgent
}
