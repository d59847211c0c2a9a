package api

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"saffronbend/internal/state"
	"saffronbend/wire"
)

const descriptionTooLong = "the description is too long"

// submit serves a submission. It is an idempotent request: a job that was accepted once is never refused afterwards,
// whatever has changed since.
func (a *API) submit(w http.ResponseWriter, req *http.Request, _ httprouter.Params) {
	ctx, cancel := context.WithTimeout(req.Context(), changeTimeout)
	defer cancel()
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, wire.MaxBodyBytes))
	if err != nil {
		refuse(w, http.StatusBadRequest, "the body is too long or broken")
		return
	}
	job, err := wire.ParseJob(body)
	if err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	types := a.controller.Types()
	if types == nil {
		refuseForNow(w, "the machine types are not known yet")
		return
	}
	if err := checkFeasible(job, a.settings.Deployment.Teams, types); err != nil {
		a.refuseUnlessAccepted(ctx, w, job.ID, func() { refuse(w, http.StatusUnprocessableEntity, err.Error()) })
		return
	}
	if a.controller.ShortOfMemory() {
		a.refuseUnlessAccepted(ctx, w, job.ID, func() { refuseForNow(w, "short of memory") })
		return
	}
	a.accept(ctx, w, job)
}

// refuseUnlessAccepted refuses a submission, unless the job was accepted earlier: then it responds with its state.
func (a *API) refuseUnlessAccepted(ctx context.Context, w http.ResponseWriter, job wire.JobID, refuseIt func()) {
	switch jobState, err := a.readState(ctx, job); {
	case err != nil:
		refuseForNow(w, storeSilent)
	case jobState != "":
		a.respondWithState(w, http.StatusOK, job, jobState)
	default:
		refuseIt()
	}
}

func (a *API) refuseTooLong(ctx context.Context, w http.ResponseWriter, job wire.JobID) {
	a.refuseUnlessAccepted(ctx, w, job, func() { refuse(w, http.StatusBadRequest, descriptionTooLong) })
}

// accept writes a job's records, if there are none yet, and responds with the outcome.
func (a *API) accept(ctx context.Context, w http.ResponseWriter, job *wire.Job) {
	maxValueKB := a.settings.Deployment.State.Effective().ValueKB
	records, err := encodeRecords(state.OpenJobRecord{
		Job: *job, AcceptedAt: a.unixMicro(), ShardSize: state.ProgressShardSize(job.Kind, maxValueKB),
	}, wire.JobPending)
	if err != nil {
		a.log.Error("a record can't be encoded", "job", job.ID, "error", err)
		refuseForNow(w, "internal error")
		return
	}
	if float64(len(records.openJob)) > maxValueKB*1024 {
		a.refuseTooLong(ctx, w, job.ID)
		return
	}
	switch err := a.writeRecords(ctx, job.ID, 0, records); {
	case err == nil:
		a.log.Debug("job accepted", "job", job.ID, "class", job.Class, "team", job.Team, "tasks", job.Tasks)
		a.respondWithState(w, http.StatusCreated, job.ID, wire.JobPending)
	case errors.Is(err, state.ErrUnavailable):
		refuseForNow(w, "the state service does not serve now")
	case errors.Is(err, state.ErrRejected):
		// The store's limit has been lowered to less than the settings say.
		a.log.Error("the key-value store refuses a job description",
			"key", state.OpenJobKey(job.ID), "bytes", len(records.openJob), "error", err)
		a.refuseTooLong(ctx, w, job.ID)
	default:
		// The job has been accepted before, or the outcome is unknown: what is stored decides.
		a.refuseUnlessAccepted(ctx, w, job.ID, func() { refuseForNow(w, outcomeUnknown) })
	}
}

// jobRecords are the encoded records of a job. They are always written together, so that they have the same version.
type jobRecords struct {
	status  []byte
	openJob []byte
}

func encodeRecords(openJob state.OpenJobRecord, jobState wire.JobState) (jobRecords, error) {
	openJobValue, err := json.Marshal(openJob)
	if err != nil {
		return jobRecords{}, err
	}
	statusValue, err := json.Marshal(state.JobStatusRecord{State: jobState})
	if err != nil {
		return jobRecords{}, err
	}
	return jobRecords{status: statusValue, openJob: openJobValue}, nil
}

// writeRecords replaces the records of a job at a version; with version 0 it creates them.
func (a *API) writeRecords(ctx context.Context, job wire.JobID, version uint64, records jobRecords) error {
	statusKey, openJobKey := state.JobStatusKey(job), state.OpenJobKey(job)
	_, err := a.store.CompareAndSwap(ctx, wire.Transaction{
		If: []wire.Condition{{Key: statusKey, Version: version}, {Key: openJobKey, Version: version}},
		Then: []wire.Change{
			{Put: statusKey, Value: records.status},
			{Put: openJobKey, Value: records.openJob},
		},
	})
	return err
}
