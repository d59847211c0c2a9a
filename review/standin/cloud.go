package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"saffronbend/wire"
)

// Cloud rents machines, as many as it is asked for.
type Cloud struct {
	Types   []wire.MachineType
	ListLag time.Duration
	Record  *Recorder
	// NewWorker creates the worker of a machine that is up.
	NewWorker func(id wire.MachineID, machineType wire.MachineType, zone string, spot bool) (*Worker, error)

	mu       sync.Mutex
	machines []*cloudMachine
	hires    map[string][]wire.MachineID
}

type cloudMachine struct {
	listing wire.Machine
	since   time.Time
	readyAt time.Time // zero for a machine that was up at the start
	worker  *Worker   // nil until the machine is up
	gone    bool
}

// Add adds a machine that is up and listed, and returns its worker, which is not started yet.
func (c *Cloud) Add(typeName, zone string, spot bool) (*Worker, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	machine := c.create(typeName, zone, spot)
	machine.since = machine.since.Add(-time.Hour)
	err := c.boot(machine)
	return machine.worker, err
}

func (c *Cloud) create(typeName, zone string, spot bool) *cloudMachine {
	machine := &cloudMachine{since: time.Now(), listing: wire.Machine{
		ID: wire.MachineID(fmt.Sprintf("n-%06d", len(c.machines)+1)), Type: typeName, Zone: zone, Spot: spot,
		State: wire.MachineStarting,
	}}
	c.machines = append(c.machines, machine)
	return machine
}

func (c *Cloud) machineType(name string) wire.MachineType {
	for _, machineType := range c.Types {
		if machineType.Name == name {
			return machineType
		}
	}
	return wire.MachineType{Name: name}
}

func (c *Cloud) boot(machine *cloudMachine) error {
	listing := &machine.listing
	worker, err := c.NewWorker(listing.ID, c.machineType(listing.Type), listing.Zone, listing.Spot)
	if err != nil {
		return err
	}
	machine.worker, listing.Addr, listing.State = worker, worker.ReportedAddress(), wire.MachineRunning
	return nil
}

// ServeHTTP serves the cloud's part of the protocol.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch r.Method + " " + r.URL.Path {
	case "GET /machine_types":
		writeJSON(w, http.StatusOK, wire.MachineTypes{Types: c.Types})
	case "GET /machines":
		writeJSON(w, http.StatusOK, c.list(wire.MachineID(r.URL.Query().Get("from"))))
	case "POST /machines":
		c.serveHire(w, r)
	case "POST /machines/delete":
		c.serveDelete(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (c *Cloud) list(from wire.MachineID) wire.MachinePage {
	page := wire.MachinePage{Machines: []wire.Machine{}}
	for _, machine := range c.machines {
		held := time.Since(machine.since)
		if machine.gone || machine.listing.ID <= from || held < c.ListLag {
			continue
		}
		listing := machine.listing
		listing.AgeS = held.Seconds()
		page.Machines = append(page.Machines, listing)
	}
	return page
}

func (c *Cloud) serveHire(w http.ResponseWriter, r *http.Request) {
	var hire wire.ScaleOutRequest
	if json.NewDecoder(r.Body).Decode(&hire) != nil || hire.RequestID == "" || hire.Count < 1 || hire.Count > 50 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if ids, repeated := c.hires[hire.RequestID]; repeated {
		writeJSON(w, http.StatusOK, wire.MachineIDs{IDs: ids})
		return
	}
	c.Record.Printf("cloud: hire %s", encode(hire))
	var ids []wire.MachineID
	for range hire.Count {
		machine := c.create(hire.Type, hire.Zone, hire.Spot)
		ids = append(ids, machine.listing.ID)
		machine.readyAt = time.Now().Add(time.Duration(c.machineType(hire.Type).BootS * float64(time.Second)))
	}
	if c.hires == nil {
		c.hires = map[string][]wire.MachineID{}
	}
	c.hires[hire.RequestID] = ids
	writeJSON(w, http.StatusOK, wire.MachineIDs{IDs: ids})
}

// run boots machines, until the process ends.
func (c *Cloud) run() {
	for {
		time.Sleep(workerStep)
		c.mu.Lock()
		for _, machine := range c.machines {
			due := !machine.readyAt.IsZero() && time.Now().After(machine.readyAt)
			if due && machine.worker == nil && !machine.gone && c.boot(machine) == nil {
				c.Record.Printf("cloud: %s is up", machine.listing.ID)
				machine.worker.Start()
			}
		}
		c.mu.Unlock()
	}
}

func (c *Cloud) serveDelete(w http.ResponseWriter, r *http.Request) {
	var request wire.MachineIDs
	if json.NewDecoder(r.Body).Decode(&request) != nil || len(request.IDs) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.Record.Printf("cloud: delete %s", encode(request))
	for _, machine := range c.machines {
		for _, id := range request.IDs {
			if machine.listing.ID == id && !machine.gone {
				machine.gone = true
				if machine.worker != nil {
					machine.worker.Stop()
				}
			}
		}
	}
	writeJSON(w, http.StatusOK, struct{}{})
}
