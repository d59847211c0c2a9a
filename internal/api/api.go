// Package api serves the users: submissions, polls, cancellations and the health
// check. Nothing is told to a user before it is durable, and what is not final is read
// through to the state service, so that any controller answers the same.
package api

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"saffronbend/internal/settings"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// Store is the part of the state service that the users' interface needs.
type Store interface {
	Get(ctx context.Context, key string) (*wire.KeyValue, error)
	CompareAndSwap(ctx context.Context, t wire.Transaction) (uint64, error)
}

// Info is what the controller knows beside the store.
type Info interface {
	// Types gives the machine types, or nil while they are not known.
	Types() []wire.MachineType
	// Progress gives counts of a job's tasks for display.
	Progress(id string) (done, running int)
	// Healthy tells whether requests can be taken.
	Healthy() bool
	// ShortOfMemory tells whether nothing should be taken on that needs more memory.
	ShortOfMemory() bool
}

// API is the users' interface.
type API struct {
	store Store
	info  Info
	set   *settings.Settings
	log   *slog.Logger
	wall  func() int64
	final *finals
	slots chan struct{}
}

// New makes the interface; wall reads the time of day in microseconds.
func New(store Store, info Info, set *settings.Settings, log *slog.Logger, wall func() int64) *API {
	const mostAtOnce = 64
	return &API{store: store, info: info, set: set, log: log, wall: wall, final: newFinals(20000),
		slots: make(chan struct{}, mostAtOnce)}
}

// Register adds the users' interface to a router.
func (a *API) Register(r *httprouter.Router) {
	r.POST(wire.PathJobs, a.limited(a.submit))
	r.GET(wire.PathJobs+"/:id", a.limited(a.status))
	r.POST(wire.PathJobs+"/:id/"+wire.ActionCancel, a.limited(a.withdraw))
	r.GET(wire.PathHealth, a.health)
	r.NotFound = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { refuse(w, http.StatusNotFound, "no such path") })
	r.MethodNotAllowed = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		refuse(w, http.StatusMethodNotAllowed, "the method is not allowed here")
	})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func refuse(w http.ResponseWriter, status int, why string) {
	answer(w, status, wire.ErrorResponse{Error: why})
}

// later answers at once a request that can't be served now, and says when to come
// back. The connection is closed, so that the next try may reach another controller.
func later(w http.ResponseWriter, why string) {
	w.Header().Set("Retry-After", "1")
	w.Header().Set("Connection", "close")
	refuse(w, http.StatusServiceUnavailable, why)
}

// limited bounds the requests at work; those beyond are told to come back.
func (a *API) limited(h httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		select {
		case a.slots <- struct{}{}:
			defer func() { <-a.slots }()
			h(w, r, p)
		default:
			later(w, "too many requests at once")
		}
	}
}

func (a *API) health(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if !a.info.Healthy() {
		refuse(w, http.StatusServiceUnavailable, "not ready")
		return
	}
	answer(w, http.StatusOK, struct{}{})
}

func (a *API) submit(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	ctx, cancel := context.WithTimeout(r.Context(), 3500*time.Millisecond)
	defer cancel()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBodyBytes))
	if err != nil {
		refuse(w, http.StatusBadRequest, "the body is too long or broken")
		return
	}
	job, err := wire.ParseJob(body)
	if err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	types := a.info.Types()
	if types == nil {
		later(w, "the machine types are not known yet")
		return
	}
	if why := a.impossible(job, types); why != "" {
		a.refuseNew(ctx, w, job.ID, http.StatusUnprocessableEntity, why)
		return
	}
	if a.info.ShortOfMemory() {
		a.unlessKnown(ctx, w, job.ID, func() { later(w, "short of memory") })
		return
	}
	limit := a.set.Deployment.State.Effective().ValueKB
	rec := state.OpenJobRecord{Job: *job, AcceptedAt: a.wall(), ShardSize: state.ProgressShardSize(job.Kind, limit)}
	open, err := json.Marshal(rec)
	if err == nil && float64(len(open)) > limit*1024 {
		a.refuseNew(ctx, w, job.ID, http.StatusBadRequest, tooLong)
		return
	}
	status, err2 := json.Marshal(state.JobStatusRecord{State: wire.JobPending})
	if err := errors.Join(err, err2); err != nil {
		a.log.Error("a record can't be encoded", "job", job.ID, "err", err)
		later(w, "internal error")
		return
	}
	_, err = a.store.CompareAndSwap(ctx, wire.Transaction{
		If: []wire.Condition{{Key: state.JobStatusKey(job.ID)}, {Key: state.OpenJobKey(job.ID)}},
		Then: []wire.Change{{Put: state.JobStatusKey(job.ID), Value: status},
			{Put: state.OpenJobKey(job.ID), Value: open}}})
	if err == nil {
		a.log.Debug("job accepted", "job", job.ID, "class", job.Class, "team", job.Team, "tasks", job.Tasks)
		a.tell(w, http.StatusCreated, job.ID, wire.JobPending)
		return
	}
	switch {
	case errors.Is(err, state.ErrUnavailable):
		later(w, "the state service does not serve now")
		return
	case errors.Is(err, state.ErrRefused):
		// The limit has been lowered to less than the settings say.
		a.log.Error("the state service refuses a description", "key", state.OpenJobKey(job.ID), "bytes", len(open), "err", err)
		a.refuseNew(ctx, w, job.ID, http.StatusBadRequest, tooLong)
		return
	}
	// Known already, or the outcome is unknown: what is stored decides.
	st, err := a.read(ctx, job.ID)
	switch {
	case err != nil:
		later(w, "the state service does not answer")
	case st == "":
		later(w, "the outcome is not known yet")
	default:
		a.tell(w, http.StatusOK, job.ID, st)
	}
}

const tooLong = "the description is too long"

// refuseNew refuses a submission for good.
func (a *API) refuseNew(ctx context.Context, w http.ResponseWriter, id string, code int, why string) {
	a.unlessKnown(ctx, w, id, func() { refuse(w, code, why) })
}

// unlessKnown answers a submission that can't be accepted now. A job that was accepted once is never refused afterwards,
// whatever has changed since.
func (a *API) unlessKnown(ctx context.Context, w http.ResponseWriter, id string, refuseIt func()) {
	switch st, err := a.read(ctx, id); {
	case err != nil:
		later(w, "the state service does not answer")
	case st != "":
		a.tell(w, http.StatusOK, id, st)
	default:
		refuseIt()
	}
}

// impossible says why a job can never run, or nothing.
func (a *API) impossible(j *wire.Job, types []wire.MachineType) string {
	var team *settings.Team
	for i := range a.set.Deployment.Teams {
		if a.set.Deployment.Teams[i].Name == j.Team {
			team = &a.set.Deployment.Teams[i]
		}
	}
	if team == nil {
		return "unknown team"
	}
	if team.CPUsMax > 0 && j.CPUs > team.CPUsMax || team.GPUsMax > 0 && j.GPUs > team.GPUsMax {
		return "a task needs more than the team's limit"
	}
	zones := map[string]bool{}
	for i := range types {
		for _, z := range types[i].Zones {
			if j.Allows(&types[i], z, false) {
				zones[z] = true
			}
		}
	}
	switch n := float64(j.Tasks); {
	case len(zones) == 0:
		return "a task fits no allowed machine type"
	case j.Kind != wire.KindGang || j.Tasks == 1:
		return ""
	case team.CPUsMax > 0 && n*j.CPUs > team.CPUsMax+1e-9 || team.GPUsMax > 0 && n*j.GPUs > team.GPUsMax+1e-9:
		return "the tasks of the gang together need more than the team's limit"
	case j.SpreadZones && (j.SameZone || len(zones) < 2):
		return "the tasks of the gang can't be spread over the zones that they may use"
	}
	return ""
}

// read gives a job's stored status as on the wire, or nothing if it is not known.
func (a *API) read(ctx context.Context, id string) (wire.JobState, error) {
	if st, ok := a.final.get(id); ok {
		return st, nil
	}
	it, err := a.store.Get(ctx, state.JobStatusKey(id))
	if err != nil || it == nil {
		return "", err
	}
	var rec state.JobStatusRecord
	if err := json.Unmarshal(it.Value, &rec); err != nil {
		return "", fmt.Errorf("record of %s: %w", id, err)
	}
	if rec.State != wire.JobPending {
		a.final.put(id, rec.State)
	}
	return rec.State, nil
}

// tell answers with a job's state. Whether a job that is not over is pending or
// running is for display and comes from the controller's view.
func (a *API) tell(w http.ResponseWriter, code int, id string, status wire.JobState) {
	done, running := a.info.Progress(id)
	if status == wire.JobPending && running > 0 {
		status = wire.JobRunning
	}
	js := wire.JobStatus{ID: id, State: status}
	if status != wire.JobCancelled && status != wire.JobDone {
		js.DoneTasks, js.RunningTasks = &done, &running
	}
	answer(w, code, js)
}

func (a *API) status(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	// Users wait 2 s for the answer.
	ctx, cancel := context.WithTimeout(r.Context(), 1500*time.Millisecond)
	defer cancel()
	id := p.ByName("id")
	if !wire.ValidJobID(id) {
		refuse(w, http.StatusNotFound, "no such job")
		return
	}
	st, err := a.read(ctx, id)
	switch {
	case err != nil:
		later(w, "the state service does not answer")
	case st == "":
		refuse(w, http.StatusNotFound, "no such job")
	default:
		a.tell(w, http.StatusOK, id, st)
	}
}

func (a *API) withdraw(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	ctx, cancel := context.WithTimeout(r.Context(), 3500*time.Millisecond)
	defer cancel()
	id := p.ByName("id")
	if !wire.ValidJobID(id) {
		refuse(w, http.StatusNotFound, "no such job")
		return
	}
	for try := 0; try < 3; try++ {
		st, err := a.read(ctx, id)
		switch {
		case err != nil:
			later(w, "the state service does not answer")
			return
		case st == "":
			refuse(w, http.StatusNotFound, "no such job")
			return
		case st != wire.JobPending:
			a.tell(w, http.StatusOK, id, st)
			return
		}
		if err := a.cancel(ctx, id); err != nil {
			a.log.Debug("cancellation not carried out yet", "job", id, "err", err)
		}
	}
	later(w, "the outcome is not known yet")
}

// cancel tries to mark a job as cancelled; whether it has worked is read back.
func (a *API) cancel(ctx context.Context, id string) error {
	it, err := a.store.Get(ctx, state.OpenJobKey(id))
	if err != nil || it == nil {
		return err
	}
	var rec state.OpenJobRecord
	if err := json.Unmarshal(it.Value, &rec); err != nil {
		return fmt.Errorf("record of %s: %w", id, err)
	}
	open, err := json.Marshal(rec.Finalized(wire.JobCancelled))
	status, err2 := json.Marshal(state.JobStatusRecord{State: wire.JobCancelled})
	if err := errors.Join(err, err2); err != nil {
		return fmt.Errorf("record of %s: %w", id, err)
	}
	// Both records of a job change together, so they share their version.
	_, err = a.store.CompareAndSwap(ctx, wire.Transaction{
		If: []wire.Condition{{Key: state.JobStatusKey(id), Version: it.Version}, {Key: state.OpenJobKey(id), Version: it.Version}},
		Then: []wire.Change{{Put: state.JobStatusKey(id), Value: status},
			{Put: state.OpenJobKey(id), Value: open}}})
	return err
}
