// Command saffronbend runs a controller of the saffronbend cluster scheduler. It is also the command-line client for
// the scheduler's users (job) and operators (drain, spread).
//
// Each command is a type with a Run method, which the command-line library (kong) calls; there is one file for each
// group of commands. The package implements only the command line: the controller is saffronbend.Node, the users'
// client is client.Client, and the operators' clients are those of internal/operator. Results are printed to standard
// output, and errors and logs to standard error.
package main

import (
	"errors"

	"github.com/alecthomas/kong"

	"saffronbend/internal/settings"
)

const version = "0.2.0"

// errNoConfig is returned when a command needs the settings file and --config is not given.
var errNoConfig = errors.New("--config FILE is missing")

// cli is the root of the command line. The platform's administrators write the settings file, the operators the options
// file. kong derives commands, flags and arguments from the field names and the struct
// tags of this type and of the command types, and uses the type names in error messages.
type cli struct {
	Config  string           `help:"The platform's settings file (TOML)." placeholder:"FILE"`
	Options string           `help:"The operators' options (protobuf text format)." placeholder:"FILE"`
	Version kong.VersionFlag `help:"Print the version and exit."`

	Run   runCmd   `cmd:"" default:"1" help:"Run a controller until it is killed (default)."`
	Check checkCmd `cmd:"" help:"Check the settings and the options, and exit."`
	Job   jobCmd   `cmd:"" help:"Submit, ask about and withdraw jobs."`
	Drain drainCmd `cmd:"" help:"Empty and return machines in steps."`

	Rebalance rebalanceCmd `cmd:"" name:"spread" help:"Watch, pause and resume moves of running work between machines."`
}

// load reads the settings file and the options file that the command line specifies.
func (c *cli) load() (*settings.Settings, error) {
	if c.Config == "" {
		return nil, errNoConfig
	}
	return settings.Load(c.Config, c.Options)
}

func main() {
	var c cli
	ctx := kong.Parse(&c,
		kong.Name("saffronbend"),
		kong.Description("A cluster scheduler: places users' tasks on rented machines."),
		kong.Vars{"version": "saffronbend " + version})
	ctx.FatalIfErrorf(ctx.Run(&c))
}
