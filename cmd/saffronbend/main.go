// Command saffronbend runs a controller of the saffronbend cluster scheduler. It is also the client of the
// scheduler's users (job) and operators (drain, spread).
//
// A command is a type with a Run method, which the library of the command line (kong) calls; there is a file for each
// group of commands. The package owns nothing but the command line: a controller is saffronbend.Node, a user's client
// client.Client, and the operators' calls are those of internal/operator. It prints results to standard output, and
// errors and logs to standard error.
package main

import (
	"errors"

	"github.com/alecthomas/kong"

	"saffronbend/internal/settings"
)

// version is the release's number.
const version = "0.2.0"

// errNoConfig is the error when a command needs the settings and is not told where they are.
var errNoConfig = errors.New("--config FILE is missing")

// cli is the command line. The names of fields and of types are part of it, as are the tags.
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

// load reads the settings and the options that the command line names.
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
