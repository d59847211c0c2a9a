package world

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"saffronbend/wire"
)

// Pool is a kind of machine that the cloud rents in a zone.
type Pool struct {
	Type, Zone string
	Spot       bool
}

// Cloud rents machines. It is safe for concurrent use.
type Cloud struct {
	record *Record
	types  []wire.MachineType
	lag    time.Duration
	start  func(machine wire.Machine) *Worker

	mu       sync.Mutex
	capacity map[Pool]int // machines that can be rented still
	machines map[wire.MachineID]*rented
	hires    map[string][]wire.MachineID
	last     int
	outage   bool
	requests bucket
}

type rented struct {
	machine wire.Machine
	worker  *Worker
	since   time.Time
	gone    time.Time // zero: it exists
}

// NewCloud returns a cloud without machines. start starts the worker of a machine that is up.
func NewCloud(
	record *Record, types []wire.MachineType, capacity map[Pool]int, lag time.Duration, rps float64,
	start func(wire.Machine) *Worker,
) *Cloud {
	return &Cloud{
		record: record, types: types, lag: lag, start: start, capacity: capacity,
		machines: map[wire.MachineID]*rented{}, hires: map[string][]wire.MachineID{},
		requests: newBucket(rps, 2),
	}
}

// Serve serves the controllers.
func (c *Cloud) Serve(listener net.Listener) {
	server := &http.Server{Handler: http.HandlerFunc(c.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
}

// SetOutage begins or ends an outage of the interface.
func (c *Cloud) SetOutage(outage bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outage = outage
}

// Add adds a machine that has been up for long, and returns its worker.
func (c *Cloud) Add(pool Pool) *Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	added := c.create(pool, time.Now().Add(-time.Hour))
	added.machine.State = wire.MachineRunning
	added.worker = c.start(added.machine)
	added.machine.Addr = added.worker.Address()
	return added.worker
}

func (c *Cloud) create(pool Pool, since time.Time) *rented {
	c.last++
	id := wire.MachineID(fmt.Sprintf("n-%06d", c.last))
	added := &rented{since: since, machine: wire.Machine{
		ID: id, Type: pool.Type, Zone: pool.Zone, Spot: pool.Spot, State: wire.MachineStarting,
	}}
	c.machines[id] = added
	return added
}

// Kill takes a machine away without a notice.
func (c *Cloud) Kill(id wire.MachineID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remove(id, "taken")
}

func (c *Cloud) remove(id wire.MachineID, why string) {
	found := c.machines[id]
	if found == nil || !found.gone.IsZero() {
		return
	}
	found.gone = time.Now()
	c.capacity[Pool{found.machine.Type, found.machine.Zone, found.machine.Spot}]++
	c.record.Add("cloud: machine %s is gone (%s)", id, why)
	if found.worker != nil {
		found.worker.Stop()
	}
}

func (c *Cloud) serve(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.outage:
		answer(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "trouble"})
	case !c.requests.take(1):
		answer(w, http.StatusTooManyRequests, wire.ErrorResponse{Error: "too many requests"})
	case r.URL.Path == "/machine_types":
		answer(w, http.StatusOK, wire.MachineTypes{Types: c.types})
	case r.URL.Path == "/machines" && r.Method == http.MethodGet:
		c.list(w, r)
	case r.URL.Path == "/machines":
		c.hire(w, r)
	case r.URL.Path == "/machines/delete":
		c.delete(w, r)
	default:
		answer(w, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
	}
}

func (c *Cloud) list(w http.ResponseWriter, r *http.Request) {
	at := time.Now().Add(-c.lag)
	size, err := strconv.Atoi(r.URL.Query().Get("page"))
	if err != nil || size < 1 || size > wire.MachinePageSize {
		size = wire.MachinePageSize
	}
	page := wire.MachinePage{Machines: []wire.Machine{}}
	for _, found := range c.machines {
		listed := !found.since.After(at) && (found.gone.IsZero() || found.gone.After(at))
		if listed && string(found.machine.ID) > r.URL.Query().Get("from") {
			machine := found.machine
			machine.AgeS = at.Sub(found.since).Seconds()
			page.Machines = append(page.Machines, machine)
		}
	}
	slices.SortFunc(page.Machines, func(a, b wire.Machine) int { return strings.Compare(string(a.ID), string(b.ID)) })
	if len(page.Machines) > size {
		page.Machines, page.More = page.Machines[:size], true
	}
	answer(w, http.StatusOK, page)
}

func (c *Cloud) hire(w http.ResponseWriter, r *http.Request) {
	var request wire.ScaleOutRequest
	err := json.NewDecoder(r.Body).Decode(&request)
	if err != nil || request.RequestID == "" || request.Count < 1 || request.Count > 50 {
		answer(w, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
		return
	}
	if ids, repeated := c.hires[request.RequestID]; repeated {
		answer(w, http.StatusOK, wire.MachineIDs{IDs: ids})
		return
	}
	pool := Pool{request.Type, request.Zone, request.Spot}
	number := min(request.Count, c.capacity[pool])
	if number == 0 {
		answer(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "no capacity"})
		return
	}
	c.capacity[pool] -= number
	var ids []wire.MachineID
	for range number {
		added := c.create(pool, time.Now())
		ids = append(ids, added.machine.ID)
		c.record.Add("cloud: machine %s rented: %s in %s", added.machine.ID, pool.Type, pool.Zone)
		time.AfterFunc(c.bootTime(pool.Type), func() { c.boot(added) })
	}
	c.hires[request.RequestID] = ids
	answer(w, http.StatusOK, wire.MachineIDs{IDs: ids})
}

func (c *Cloud) bootTime(name string) time.Duration {
	for _, machineType := range c.types {
		if machineType.Name == name {
			return time.Duration(machineType.BootS * float64(time.Second))
		}
	}
	return time.Minute
}

func (c *Cloud) boot(added *rented) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !added.gone.IsZero() {
		return
	}
	added.machine.State = wire.MachineRunning
	added.worker = c.start(added.machine)
	added.machine.Addr = added.worker.Address()
}

func (c *Cloud) delete(w http.ResponseWriter, r *http.Request) {
	var request wire.MachineIDs
	if json.NewDecoder(r.Body).Decode(&request) != nil || len(request.IDs) > 100 {
		answer(w, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
		return
	}
	for _, id := range request.IDs {
		c.remove(id, "deleted")
	}
	answer(w, http.StatusOK, struct{}{})
}
