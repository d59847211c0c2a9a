package fake

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"saffronbend/internal/invariant"
	"saffronbend/wire"
)

// Cloud is a cloud. It starts workers for the machines that it rents.
type Cloud struct {
	mu        sync.Mutex
	types     []wire.MachineType
	lag       time.Duration
	machines  map[string]*rented
	hires     map[string][]string
	places    map[string]int // machines left by type, zone and kind
	next      int
	outage    bool
	lose      bool
	start     func(Machine) *Worker
	scaledOut int
}

type rented struct {
	m      wire.Machine
	since  time.Time
	bootAt time.Time
	worker *Worker
	timer  *time.Timer
}

// NewCloud makes a cloud; start starts the worker of a machine that is up.
func NewCloud(types []wire.MachineType, lag time.Duration, start func(Machine) *Worker) *Cloud {
	return &Cloud{types: types, lag: lag, machines: map[string]*rented{}, hires: map[string][]string{}, places: map[string]int{}, start: start}
}

func placeKey(typ, zone string, spot bool) string { return fmt.Sprint(typ, "/", zone, "/", spot) }

// Capacity sets how many machines may be rented.
func (c *Cloud) SetCapacity(typ, zone string, spot bool, n int) {
	c.places[placeKey(typ, zone, spot)] = n
}

// Outage begins or ends an outage.
func (c *Cloud) SetOutage(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outage = on
}

// LoseAnswer has the next hire carried out without an answer.
func (c *Cloud) LoseNextResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lose = true
}

// Hired gives how many machines have been rented so far.
func (c *Cloud) ScaledOut() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scaledOut
}

// Up gives how many machines there are.
func (c *Cloud) MachineCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.machines)
}

// InZone gives how many machines there are in a zone.
func (c *Cloud) MachinesInZone(zone string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, m := range c.machines {
		if m.m.Zone == zone {
			n++
		}
	}
	return n
}

// Worker gives the worker of a machine that is up, or nil.
func (c *Cloud) Worker(id string) *Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.machines[id]; m != nil {
		return m.worker
	}
	return nil
}

// Workers gives the workers of the machines that are up.
func (c *Cloud) RunningMachines() []invariant.Machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []invariant.Machine
	for _, id := range slices.Sorted(maps.Keys(c.machines)) {
		if m := c.machines[id]; m.worker != nil && m.m.State == wire.MachineRunning {
			out = append(out, m.worker.machine.Machine)
		}
	}
	return out
}

// Add enters a machine that is up from the start.
func (c *Cloud) AddMachine(typ, zone string, spot bool) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rent(typ, zone, spot, 0)
}

// Die ends a machine by itself; it is listed as failed at once.
func (c *Cloud) FailMachine(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.machines[id]
	m.worker.Stop()
	m.m.State = wire.MachineFailed
}

// Take takes a machine back: it is gone and no longer listed.
func (c *Cloud) ReclaimMachine(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machines[id].worker.Stop()
	delete(c.machines, id)
}

const machineName = "n-%06d"

func machineIP(n int) string { return fmt.Sprintf("10.1.%d.%d", n/250, n%250+1) }

// MachineIP gives the address of a machine, which nobody else gets when it is gone.
func MachineIP(id string) (string, bool) {
	var n int
	_, err := fmt.Sscanf(id, machineName, &n)
	return machineIP(n), err == nil
}

func (c *Cloud) rent(typ, zone string, spot bool, boot time.Duration) string {
	c.next++
	id := fmt.Sprintf(machineName, c.next)
	ip := machineIP(c.next)
	m := &rented{since: time.Now(), bootAt: time.Now().Add(boot),
		m: wire.Machine{ID: id, Addr: ip + ":9000", Type: typ, Zone: zone, Spot: spot, State: wire.MachineStarting}}
	c.machines[id] = m
	up := func() {
		m.worker = c.start(Machine{Machine: invariant.Machine{ID: id, Type: typ, Zone: zone, Spot: spot}, IP: ip})
		m.m.State = wire.MachineRunning
	}
	if boot == 0 {
		up()
		m.since = m.since.Add(-time.Hour)
		return id
	}
	m.timer = time.AfterFunc(boot, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.machines[id] == m {
			up()
		}
	})
	return id
}

// ServeHTTP serves the protocol.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outage {
		reply(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "trouble"})
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /machine_types":
		reply(w, http.StatusOK, wire.MachineTypes{Types: c.types})
	case "GET /machines":
		const page = 500
		l := wire.MachinePage{Machines: []wire.Machine{}}
		for _, id := range slices.Sorted(maps.Keys(c.machines)) {
			m := c.machines[id]
			age := time.Since(m.since)
			if id <= r.URL.Query().Get("from") || age < c.lag {
				continue
			}
			if l.More = len(l.Machines) == page; l.More {
				break
			}
			m.m.AgeS = age.Seconds()
			l.Machines = append(l.Machines, m.m)
		}
		reply(w, http.StatusOK, l)
	case "POST /machines":
		c.hire(w, r)
	case "POST /machines/delete":
		var n wire.MachineIDs
		if json.NewDecoder(r.Body).Decode(&n) != nil || len(n.IDs) > 100 {
			reply(w, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
			return
		}
		for _, id := range n.IDs {
			c.remove(id)
		}
		reply(w, http.StatusOK, struct{}{})
	default:
		reply(w, http.StatusNotFound, wire.ErrorResponse{Error: "no such path"})
	}
}

func (c *Cloud) remove(id string) {
	m := c.machines[id]
	if m == nil {
		return
	}
	if m.timer != nil {
		m.timer.Stop()
	}
	if m.worker != nil && m.m.State == wire.MachineRunning {
		m.worker.Stop()
	}
	c.places[placeKey(m.m.Type, m.m.Zone, m.m.Spot)]++
	delete(c.machines, id)
}

func (c *Cloud) hire(w http.ResponseWriter, r *http.Request) {
	var h wire.ScaleOutRequest
	if json.NewDecoder(r.Body).Decode(&h) != nil || h.RequestID == "" || h.Count < 1 || h.Count > 50 {
		reply(w, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
		return
	}
	names, known := c.hires[h.RequestID]
	if !known {
		left := c.places[placeKey(h.Type, h.Zone, h.Spot)]
		n := min(h.Count, left)
		if n == 0 {
			reply(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "no capacity"})
			return
		}
		boot := time.Minute
		for _, t := range c.types {
			if t.Name == h.Type {
				boot = time.Duration(t.BootS * float64(time.Second))
			}
		}
		for range n {
			names = append(names, c.rent(h.Type, h.Zone, h.Spot, boot))
		}
		c.places[placeKey(h.Type, h.Zone, h.Spot)] -= n
		c.hires[h.RequestID] = names
		c.scaledOut += n
	}
	if c.lose {
		c.lose = false
		panic(http.ErrAbortHandler)
	}
	reply(w, http.StatusOK, wire.MachineIDs{IDs: names})
}
