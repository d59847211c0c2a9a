// Package settings reads and validates the configuration of a controller: the platform's settings file (TOML), and the
// operators' options (protobuf text format), whose schema is options.proto.
//
// The package defines the names, bounds and defaults of all settings and options. It also defines values that are
// derived from them: the limits of one controller, the timeouts that the protocol leaves to the scheduler, and the
// number of machines for which the platform's limits are sufficient. The command loads the configuration once when it
// starts, and the other packages receive the result or a part of it.
//
// Values that are out of bounds are rejected, not corrected. Settings do not change after Parse has returned them. Only
// Load does I/O.
package settings

import (
	"errors"
	"fmt"
	"os"

	"github.com/BurntSushi/toml"
	"google.golang.org/protobuf/encoding/prototext"

	"saffronbend/internal/settings/optionspb"
)

// Settings is the configuration of one controller. Tuning holds the operators' options; all other fields are read from
// the platform's settings file.
type Settings struct {
	// Member is the controller's name, unique among the controllers.
	Member string `toml:"member"`
	// Zone is the zone in which the controller runs.
	Zone string `toml:"location"`
	// Listen is the IP address and port for users, workers and health checks.
	Listen string `toml:"serve_on"`
	// PeerListen is the IP address and port for the other controllers and for operators.
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

// Services holds the addresses of the services on which the controllers depend. Each is an IP address with a port.
type Services struct {
	Cloud string `toml:"cloud"` // cloud API, which creates and deletes machines
	State string `toml:"state"` // consensus-backed key-value store
}

// Deployment is the part of the settings that all controllers share.
type Deployment struct {
	// Controllers is the number of controllers, including this one.
	Controllers int           `toml:"nodes"`
	Zones       []string      `toml:"zones"`
	SkewMillis  float64       `toml:"skew_ms"` // maximum offset of the wall clock from true time, in milliseconds
	Teams       []Team        `toml:"teams"`
	Objectives  []Objective   `toml:"objectives"`
	Workers     Workers       `toml:"workers"`
	State       StoreLimits   `toml:"state"`
	Cloud       Cloud         `toml:"cloud"`
	Limits      ProcessLimits `toml:"quota"`
}

// Team is a team with its quota of processors and accelerators. The quota has a guarantee and a limit of each; 0 means
// that there is none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`     // guarantee
	CPUsMax float64 `toml:"cpus_max"` // limit
	GPUs    float64 `toml:"gpus"`     // guarantee
	GPUsMax float64 `toml:"gpus_max"` // limit
}

// Objective is a service-level objective of a class of jobs.
type Objective struct {
	Kind           string  `toml:"kind"`     // what is measured, for example "deadline" or "wait"
	Class          string  `toml:"class"`    // class of jobs to which the objective applies
	Share          float64 `toml:"share"`    // fraction of the class that must meet the objective, 0 to 1
	DeadlineFactor float64 `toml:"times"`    // for "deadline": allowed time to completion, as a multiple of the deadline
	MaxWaitS       float64 `toml:"within_s"` // for "wait": maximum waiting time of the jobs' tasks in seconds
}

// objectiveKindWait is the kind of objectives that limit how long the tasks of a class wait for their start.
const objectiveKindWait = "wait"

// Workers holds the durations of the worker protocol in seconds.
type Workers struct {
	ReportS float64 `toml:"report_s"` // interval between two heartbeats of a worker
	LeaseS  float64 `toml:"lease_s"`  // worker lease: how long a worker's tasks run on without a heartbeat response
	CancelS float64 `toml:"cancel_s"` // time within which all tasks of a cancelled job must terminate
	// GangWaitS is how long a task waits for the other tasks of its gang. GangPeerS is the time within which the tasks of
	// a gang detect that one of them has terminated. A duration that is nil is derived from the worker lease.
	GangWaitS *float64 `toml:"gang_wait_s"`
	GangPeerS *float64 `toml:"gang_peer_s"`
}

// Cloud holds the limits of the cloud API.
type Cloud struct {
	RPS      float64 `toml:"rps"`        // requests per second of all controllers together
	ListLagS float64 `toml:"list_lag_s"` // maximum age of the list of machines in seconds
}

// Load reads the settings from one file and, unless optionsPath is empty, the options from another. It validates both.
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

// Parse parses and validates settings and options. Options that are not given have their default values. Unknown
// settings are ignored, since the platform may add some; unknown options are rejected. An error due to invalid values
// wraps an InvalidValueError for the first invalid setting, or one for each invalid option.
func Parse(data, options []byte) (*Settings, error) {
	s := new(Settings)
	data, err := withoutNamesInOtherCase(data)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := toml.Unmarshal(data, s); err != nil {
		var parseError toml.ParseError
		if errors.As(err, &parseError) {
			// The text of a ParseError has several lines with an excerpt of the file, too long for a log line.
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

// UrgentClasses returns the classes that have an objective for the waiting time of their tasks.
func (s *Settings) UrgentClasses() map[string]bool {
	urgent := map[string]bool{}
	for _, objective := range s.Deployment.Objectives {
		if objective.Kind == objectiveKindWait {
			urgent[objective.Class] = true
		}
	}
	return urgent
}
