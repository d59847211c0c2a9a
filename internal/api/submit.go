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

const msgDescriptionTooLong = "the description is too long"

// submit serves a job submission. Submissions are idempotent: if a job was accepted before, the response to a repeated
// submission is the job's state, even if the changed settings or machine types would not allow the job any more. The
// exceptions are a body that can't be read or is no valid job (status 400) and a controller that doesn't know the
// machine types yet or gets no response from the store (status 503); neither changes anything for the accepted job.
func (a *API) submit(w http.ResponseWriter, req *http.Request, _ httprouter.Params) {
	ctx, cancel := context.WithTimeout(req.Context(), writeTimeout)
	defer cancel()
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, wire.MaxBodyBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, "the body is too long or broken")
		return
	}
	job, err := wire.ParseJob(body)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	types := a.controller.Types()
	if types == nil {
		writeUnavailable(w, "the machine types are not known yet")
		return
	}
	if err := checkFeasible(job, a.settings.Deployment.Teams, types); err != nil {
		a.rejectUnlessAccepted(ctx, w, job.ID, func() { writeError(w, http.StatusUnprocessableEntity, err.Error()) })
		return
	}
	if a.controller.UnderMemoryPressure() {
		a.rejectUnlessAccepted(ctx, w, job.ID, func() { writeUnavailable(w, "short of memory") })
		return
	}
	a.accept(ctx, w, job)
}

// rejectUnlessAccepted responds with the job's state if the job was accepted earlier; otherwise it calls reject.
func (a *API) rejectUnlessAccepted(ctx context.Context, w http.ResponseWriter, job wire.JobID, reject func()) {
	switch jobState, err := a.readJobState(ctx, job); {
	case err != nil:
		writeUnavailable(w, msgStoreUnreachable)
	case jobState != "":
		a.writeJobStatus(w, http.StatusOK, job, jobState)
	default:
		reject()
	}
}

func (a *API) rejectTooLong(ctx context.Context, w http.ResponseWriter, job wire.JobID) {
	a.rejectUnlessAccepted(ctx, w, job, func() { writeError(w, http.StatusBadRequest, msgDescriptionTooLong) })
}

// accept writes a job's records unless they exist already, and responds with the outcome.
func (a *API) accept(ctx context.Context, w http.ResponseWriter, job *wire.Job) {
	maxValueKB := a.settings.Deployment.State.Effective().ValueKB
	records, err := encodeRecords(state.OpenJobRecord{
		Job: *job, AcceptedAt: a.unixMicro(), ShardSize: state.ProgressShardSize(job.Kind, maxValueKB),
	}, wire.JobPending)
	if err != nil {
		a.log.Error("failed to encode job record", "job", job.ID, "error", err)
		writeUnavailable(w, "internal error")
		return
	}
	if float64(len(records.openJob)) > maxValueKB*1024 {
		a.rejectTooLong(ctx, w, job.ID)
		return
	}
	switch _, err := a.writeRecords(ctx, job.ID, 0, records); {
	case err == nil:
		a.log.Debug("job accepted", "job", job.ID, "class", job.Class, "team", job.Team, "tasks", job.Tasks)
		a.writeJobStatus(w, http.StatusCreated, job.ID, wire.JobPending)
	case errors.Is(err, state.ErrUnavailable):
		// Nothing was written, and the store does not serve this controller now. So the stored state is not read either.
		writeUnavailable(w, "the state service does not serve now")
	case errors.Is(err, state.ErrRejected):
		// The record is within the configured size limit: the store's limit has been lowered below the configured one.
		a.log.Error("key-value store rejected a job record that is within the configured size limit",
			"key", state.OpenJobKey(job.ID), "bytes", len(records.openJob), "error", err)
		a.rejectTooLong(ctx, w, job.ID)
	default:
		// Either the job was accepted before, which is a conflict, or the outcome of the write is unknown. The stored state
		// determines the response.
		a.rejectUnlessAccepted(ctx, w, job.ID, func() { writeUnavailable(w, msgOutcomeUnknown) })
	}
}

// jobRecords holds the encoded records of a job. Both are always written in one transaction, so that they have the same
// version.
type jobRecords struct {
	status  []byte // a state.JobStatusRecord: the job's state, which is kept forever
	openJob []byte // a state.OpenJobRecord: the job's description, for the leader, until its last task has terminated
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

// writeRecords writes both records of a job if both have the given version, and returns the store's revision of the
// write. Version 0 means that neither exists yet.
func (a *API) writeRecords(
	ctx context.Context, job wire.JobID, version uint64, records jobRecords,
) (revision uint64, err error) {
	statusKey, openJobKey := state.JobStatusKey(job), state.OpenJobKey(job)
	return a.store.CompareAndSwap(ctx, wire.Transaction{
		If: []wire.Condition{{Key: statusKey, Version: version}, {Key: openJobKey, Version: version}},
		Then: []wire.Change{
			{Put: statusKey, Value: records.status},
			{Put: openJobKey, Value: records.openJob},
		},
	})
}
