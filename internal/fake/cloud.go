package fake

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"saffronbend/internal/invariant"
	"saffronbend/wire"
)

const (
	// machineIDFormat formats the number of a machine as its ID.
	machineIDFormat = "n-%06d"
	// workerPort is the port on which workers listen.
	workerPort = "9000"
	// initialMachineAge is the age of machines that are up from the start. It exceeds the list lag, so that they are
	// listed immediately.
	initialMachineAge = time.Hour
	// defaultBootTime is the boot time of machines of an unknown type.
	defaultBootTime = time.Minute
)

// Cloud is a fake cloud provider that serves its part of the protocol (ServeHTTP). It starts a worker on each machine
// that is up. IDs and addresses of machines are never reused.
type Cloud struct {
	types       []wire.MachineType
	listLag     time.Duration // how long a new machine is missing from the list of machines
	startWorker func(Machine) *Worker

	mu               sync.Mutex
	machines         map[wire.MachineID]*cloudMachine // machines by ID
	requests         map[string][]wire.MachineID      // IDs of the machines that each request created, by request ID
	capacity         map[machinePool]int              // number of machines that can still be created
	lastNumber       int
	scaledOut        int
	outage           bool
	loseNextResponse bool
}

// cloudMachine is a machine that is booting, up or failed.
type cloudMachine struct {
	listing   wire.Machine
	createdAt time.Time
	worker    *Worker     // nil until the machine is up
	bootTimer *time.Timer // nil for machines that are up from the start
}

// machinePool identifies a class of machines that the cloud has a capacity for.
type machinePool struct {
	machineType, zone string
	spot              bool
}

// NewCloud returns a cloud without machines and without capacity. New machines are missing from the list of machines
// for listLag. startWorker starts the worker of a machine that is up; it is called with the cloud's lock held.
func NewCloud(types []wire.MachineType, listLag time.Duration, startWorker func(Machine) *Worker) *Cloud {
	return &Cloud{
		types:       types,
		listLag:     listLag,
		startWorker: startWorker,
		machines:    map[wire.MachineID]*cloudMachine{},
		requests:    map[string][]wire.MachineID{},
		capacity:    map[machinePool]int{},
	}
}

// SetCapacity sets how many more machines of a type in a zone can be created, either spot machines or others.
func (c *Cloud) SetCapacity(machineType, zone string, spot bool, machines int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.capacity[machinePool{machineType, zone, spot}] = machines
}

// SetOutage begins or ends an outage.
func (c *Cloud) SetOutage(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outage = on
}

// LoseNextResponse makes the cloud execute the next request to scale out without sending a response.
func (c *Cloud) LoseNextResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loseNextResponse = true
}

// ScaledOut returns how many machines have been created on request so far, including those that have been deleted.
func (c *Cloud) ScaledOut() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scaledOut
}

// MachineCount returns the number of machines in any state.
func (c *Cloud) MachineCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.machines)
}

// MachinesInZone returns the number of machines in a zone, in any state.
func (c *Cloud) MachinesInZone(zone string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, machine := range c.machines {
		if machine.listing.Zone == zone {
			count++
		}
	}
	return count
}

// Worker returns the worker of a machine, or nil if there is no such machine or it is not up yet.
func (c *Cloud) Worker(id wire.MachineID) *Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	if machine := c.machines[id]; machine != nil {
		return machine.worker
	}
	return nil
}

// ResumeMachines resumes all machines that hang.
func (c *Cloud) ResumeMachines() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, machine := range c.machines {
		if machine.worker != nil {
			machine.worker.Resume()
		}
	}
}

// RunningMachines returns the machines that are up, sorted by ID.
func (c *Cloud) RunningMachines() []invariant.Machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	var running []invariant.Machine
	for _, id := range slices.Sorted(maps.Keys(c.machines)) {
		machine := c.machines[id]
		if machine.worker != nil && machine.listing.State == wire.MachineRunning {
			running = append(running, machine.worker.machine.Machine)
		}
	}
	return running
}

// AddMachine adds a machine that is up and listed immediately, and returns its ID. It does not use up capacity.
func (c *Cloud) AddMachine(machineType, zone string, spot bool) wire.MachineID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.provision(machinePool{machineType, zone, spot}, 0)
}

// FailMachine makes a machine fail. The machine is listed as failed immediately.
func (c *Cloud) FailMachine(id wire.MachineID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	machine := c.machines[id]
	machine.worker.Stop()
	machine.listing.State = wire.MachineFailed
}

// ReclaimMachine stops a machine and removes it from the cloud, without returning it to the capacity.
func (c *Cloud) ReclaimMachine(id wire.MachineID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machines[id].worker.Stop()
	delete(c.machines, id)
}

// MachineIP returns the IP address of a machine, or false if the ID is not a machine's.
func MachineIP(id wire.MachineID) (string, bool) {
	var number int
	_, err := fmt.Sscanf(string(id), machineIDFormat, &number)
	return machineIP(number), err == nil
}

func machineIP(number int) string {
	const hostsPerNetwork = 250
	return fmt.Sprintf("10.1.%d.%d", number/hostsPerNetwork, number%hostsPerNetwork+1)
}

// newMachine adds a machine that is booting. The caller holds the lock.
func (c *Cloud) newMachine(pool machinePool) (id wire.MachineID, machine *cloudMachine) {
	c.lastNumber++
	id = wire.MachineID(fmt.Sprintf(machineIDFormat, c.lastNumber))
	machine = &cloudMachine{
		listing: wire.Machine{ID: id, Addr: machineIP(c.lastNumber) + ":" + workerPort, Type: pool.machineType,
			Zone: pool.zone, Spot: pool.spot, State: wire.MachineStarting},
		createdAt: time.Now(),
	}
	c.machines[id] = machine
	return id, machine
}

// bootMachine starts the worker of a machine. The caller holds the lock.
func (c *Cloud) bootMachine(machine *cloudMachine) {
	listing := &machine.listing
	ip, _ := MachineIP(listing.ID) // cannot fail: newMachine has formatted the ID
	machine.worker = c.startWorker(Machine{
		Machine: invariant.Machine{ID: listing.ID, Type: listing.Type, Zone: listing.Zone, Spot: listing.Spot},
		IP:      ip,
	})
	listing.State = wire.MachineRunning
}

// provision adds a machine and returns its ID. The machine is up after its boot time, unless it is deleted before. A
// machine without boot time is up and listed immediately. The caller holds the lock.
func (c *Cloud) provision(pool machinePool, bootTime time.Duration) wire.MachineID {
	id, machine := c.newMachine(pool)
	if bootTime == 0 {
		c.bootMachine(machine)
		machine.createdAt = machine.createdAt.Add(-initialMachineAge)
		return id
	}
	machine.bootTimer = time.AfterFunc(bootTime, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.machines[id] == machine {
			c.bootMachine(machine)
		}
	})
	return id
}

// scaleOut creates the machines that a request asks for, as far as the capacity allows, and returns their IDs, or none
// if there is no capacity. A repeated request returns the IDs that the first one returned. The caller holds the lock.
func (c *Cloud) scaleOut(request wire.ScaleOutRequest) []wire.MachineID {
	if ids, repeated := c.requests[request.RequestID]; repeated {
		return ids
	}
	pool := machinePool{request.Type, request.Zone, request.Spot}
	count := min(request.Count, c.capacity[pool])
	if count == 0 {
		return nil
	}
	var ids []wire.MachineID
	for range count {
		ids = append(ids, c.provision(pool, c.bootTime(request.Type)))
	}
	c.capacity[pool] -= count
	c.requests[request.RequestID] = ids
	c.scaledOut += count
	return ids
}

// bootTime returns the time from the creation of a machine of a type until it is up.
func (c *Cloud) bootTime(machineType string) time.Duration {
	for _, known := range c.types {
		if known.Name == machineType {
			return seconds(known.BootS)
		}
	}
	return defaultBootTime
}

// returnMachine stops a machine, which may be booting, and returns it to the capacity. The caller holds the lock.
func (c *Cloud) returnMachine(id wire.MachineID) {
	machine := c.machines[id]
	if machine == nil {
		return
	}
	if machine.bootTimer != nil {
		machine.bootTimer.Stop()
	}
	if machine.worker != nil && machine.listing.State == wire.MachineRunning {
		machine.worker.Stop()
	}
	c.capacity[machinePool{machine.listing.Type, machine.listing.Zone, machine.listing.Spot}]++
	delete(c.machines, id)
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
