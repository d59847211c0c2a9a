package rebalance

import (
	"maps"
	"slices"

	"saffronbend/internal/disruption"
	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// role is what a machine was in a move.
type role int

const (
	source role = iota
	destination
)

// machineRole is a machine in a role.
type machineRole struct {
	machine wire.MachineID
	role    role
}

// cooldowns records the moves whose cooldowns haven't passed yet.
type cooldowns struct {
	tasks      map[disruption.Task]micros.Timestamp
	teams      map[wire.TeamName]micros.Timestamp
	machines   map[machineRole]micros.Timestamp
	lastMinute []micros.Timestamp // the moves within the last minute
}

func newCooldowns() cooldowns {
	return cooldowns{
		tasks:    map[disruption.Task]micros.Timestamp{},
		teams:    map[wire.TeamName]micros.Timestamp{},
		machines: map[machineRole]micros.Timestamp{},
	}
}

// record begins the cooldowns of a move.
func (c *cooldowns) record(move Move) {
	c.tasks[move.Task] = move.At
	c.teams[move.Team] = move.At
	c.machines[machineRole{move.From, source}] = move.At
	c.machines[machineRole{move.To, destination}] = move.At
	c.lastMinute = append(c.lastMinute, move.At)
}

// prune removes what has passed.
func (c *cooldowns) prune(now micros.Timestamp, cfg Config) {
	deletePassed(c.tasks, now, cfg.TaskCooldown)
	deletePassed(c.teams, now, cfg.TeamCooldown)
	deletePassed(c.machines, now, cfg.MachineCooldown)
	c.lastMinute = slices.DeleteFunc(c.lastMinute, func(at micros.Timestamp) bool { return now.Sub(at) >= micros.Minute })
}

func deletePassed[Key comparable](moved map[Key]micros.Timestamp, now micros.Timestamp, cooldown micros.Duration) {
	maps.DeleteFunc(moved, func(_ Key, at micros.Timestamp) bool { return now.Sub(at) >= cooldown })
}

// coolsMachine reports whether a machine was in a role within its cooldown.
func (c *cooldowns) coolsMachine(machine wire.MachineID, as role) bool {
	_, cooling := c.machines[machineRole{machine, as}]
	return cooling
}

// coolsTask reports whether a task was moved within its cooldown.
func (c *cooldowns) coolsTask(task disruption.Task) bool {
	_, cooling := c.tasks[task]
	return cooling
}

// coolsTeam reports whether a task of a team was moved within the team's cooldown.
func (c *cooldowns) coolsTeam(team wire.TeamName) bool {
	_, cooling := c.teams[team]
	return cooling
}

// longestCooldown is the time after which no cooldown of an earlier leader can last.
func (cfg Config) longestCooldown() micros.Duration {
	return max(cfg.TaskCooldown, cfg.TeamCooldown, cfg.MachineCooldown)
}
