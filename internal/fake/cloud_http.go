package fake

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"

	"saffronbend/wire"
)

const (
	// cloudPageSize is the maximum number of machines in a page of the list of machines.
	cloudPageSize = 500
	// maxMachinesPerScaleIn and maxMachinesPerScaleOut are the maximum numbers of machines of one request.
	maxMachinesPerScaleIn  = 100
	maxMachinesPerScaleOut = 50
)

// ServeHTTP serves the cloud's part of the protocol.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outage {
		writeJSON(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "trouble"})
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /machine_types":
		writeJSON(w, http.StatusOK, wire.MachineTypes{Types: c.types})
	case "GET /machines":
		writeJSON(w, http.StatusOK, c.listMachines(wire.MachineID(r.URL.Query().Get("from"))))
	case "POST /machines":
		c.serveScaleOut(w, r)
	case "POST /machines/delete":
		c.serveReturn(w, r)
	default:
		writeJSON(w, http.StatusNotFound, wire.ErrorResponse{Error: messageNoPath})
	}
}

// listMachines returns the page of machines whose IDs come after the ID from. The caller holds the lock.
func (c *Cloud) listMachines(from wire.MachineID) wire.MachinePage {
	page := wire.MachinePage{Machines: []wire.Machine{}}
	for _, id := range slices.Sorted(maps.Keys(c.machines)) {
		machine := c.machines[id]
		age := time.Since(machine.createdAt)
		if id <= from || age < c.listLag {
			continue
		}
		if len(page.Machines) == cloudPageSize {
			page.More = true
			break
		}
		listing := machine.listing
		listing.AgeS = age.Seconds()
		page.Machines = append(page.Machines, listing)
	}
	return page
}

func (c *Cloud) serveScaleOut(w http.ResponseWriter, r *http.Request) {
	var request wire.ScaleOutRequest
	if json.NewDecoder(r.Body).Decode(&request) != nil ||
		request.RequestID == "" || request.Count < 1 || request.Count > maxMachinesPerScaleOut {
		writeJSON(w, http.StatusBadRequest, wire.ErrorResponse{Error: messageMalformed})
		return
	}
	ids := c.scaleOut(request)
	if len(ids) == 0 {
		writeJSON(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "no capacity"})
		return
	}
	if c.loseNextResponse {
		c.loseNextResponse = false
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	writeJSON(w, http.StatusOK, wire.MachineIDs{IDs: ids})
}

func (c *Cloud) serveReturn(w http.ResponseWriter, r *http.Request) {
	var request wire.MachineIDs
	if json.NewDecoder(r.Body).Decode(&request) != nil || len(request.IDs) > maxMachinesPerScaleIn {
		writeJSON(w, http.StatusBadRequest, wire.ErrorResponse{Error: messageMalformed})
		return
	}
	for _, id := range request.IDs {
		c.returnMachine(id)
	}
	writeJSON(w, http.StatusOK, struct{}{})
}
