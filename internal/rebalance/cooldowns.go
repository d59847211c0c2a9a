package rebalance

import (
	"maps"
	"slices"

	"saffronbend/internal/disruption"
	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// role is the part that a machine had in a move.
type role int

const (
	source role = iota
	destination
)

// machineRole identifies a machine in a role.
type machineRole struct {
	machine wire.MachineID
	role    role
}

// cooldowns records when tasks, teams and machines took part in moves, until their cooldowns have expired.
type cooldowns struct {
	tasks      map[disruption.Task]micros.Timestamp
	teams      map[wire.TeamName]micros.Timestamp
	machines   map[machineRole]micros.Timestamp
	lastMinute []micros.Timestamp // times of the moves within the last minute
}

func newCooldowns() cooldowns {
	return cooldowns{
		tasks:    map[disruption.Task]micros.Timestamp{},
		teams:    map[wire.TeamName]micros.Timestamp{},
		machines: map[machineRole]micros.Timestamp{},
	}
}

// record starts the cooldowns of a move's task, team and machines.
func (c *cooldowns) record(move Move) {
	c.tasks[move.Task] = move.At
	c.teams[move.Team] = move.At
	c.machines[machineRole{move.From, source}] = move.At
	c.machines[machineRole{move.To, destination}] = move.At
	c.lastMinute = append(c.lastMinute, move.At)
}

// prune removes expired cooldowns, and moves that are a minute old or older from lastMinute.
func (c *cooldowns) prune(now micros.Timestamp, cfg Config) {
	deleteExpired(c.tasks, now, cfg.TaskCooldown)
	deleteExpired(c.teams, now, cfg.TeamCooldown)
	deleteExpired(c.machines, now, cfg.MachineCooldown)
	c.lastMinute = slices.DeleteFunc(c.lastMinute, func(at micros.Timestamp) bool { return now.Sub(at) >= micros.Minute })
}

func deleteExpired[Key comparable](movedAt map[Key]micros.Timestamp, now micros.Timestamp, cooldown micros.Duration) {
	maps.DeleteFunc(movedAt, func(_ Key, at micros.Timestamp) bool { return now.Sub(at) >= cooldown })
}

// machineCoolingDown reports whether a machine had a role in a move within the machine cooldown.
func (c *cooldowns) machineCoolingDown(machine wire.MachineID, as role) bool {
	_, cooling := c.machines[machineRole{machine, as}]
	return cooling
}

// taskCoolingDown reports whether a task was moved within the task cooldown.
func (c *cooldowns) taskCoolingDown(task disruption.Task) bool {
	_, cooling := c.tasks[task]
	return cooling
}

// teamCoolingDown reports whether a task of a team was moved within the team cooldown.
func (c *cooldowns) teamCoolingDown(team wire.TeamName) bool {
	_, cooling := c.teams[team]
	return cooling
}

// longestCooldown returns the time after which all cooldowns from an earlier leader's term have expired.
func (cfg Config) longestCooldown() micros.Duration {
	return max(cfg.TaskCooldown, cfg.TeamCooldown, cfg.MachineCooldown)
}
