package scenario

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"saffronbend/wire"
)

// Defaults for the fields of a job.
const (
	defaultRun          = 10 * time.Second
	defaultTeam         = "red"
	checkpointIntervalS = 5
)

// submission is a job that a user submits, and how its tasks behave, which only the user knows.
type submission struct {
	job         wire.Job
	runTime     time.Duration // run time of each task
	alwaysFails bool          // its tasks fail on every machine
}

// jobFields holds functions that set the fields of a submission, by the names of the fields.
var jobFields = map[string]func(h *harness, s *submission, value string){
	"tasks":        func(_ *harness, s *submission, value string) { s.job.Tasks = parseInteger(value) },
	"cpus":         func(_ *harness, s *submission, value string) { s.job.CPUs = parseNumber(value) },
	"mem":          func(_ *harness, s *submission, value string) { s.job.MemoryGB = parseNumber(value) },
	"team":         func(_ *harness, s *submission, value string) { s.job.Team = wire.TeamName(value) },
	"kind":         func(_ *harness, s *submission, value string) { s.job.Kind = wire.JobKind(value) },
	"priority":     func(_ *harness, s *submission, value string) { s.job.PriorityName = value },
	"image":        func(_ *harness, s *submission, value string) { s.job.Image = value },
	"image-gb":     func(_ *harness, s *submission, value string) { s.job.ImageGB = parseNumber(value) },
	"zone":         func(_ *harness, s *submission, value string) { s.job.Zone = &value },
	"types":        func(_ *harness, s *submission, value string) { s.job.MachineTypes = strings.Split(value, ",") },
	"same-zone":    func(_ *harness, s *submission, _ string) { s.job.SameZone = true },
	"spread-zones": func(_ *harness, s *submission, _ string) { s.job.SpreadZones = true },
	"on-demand":    func(_ *harness, s *submission, _ string) { s.job.AllowSpot = false },
	"fails":        func(_ *harness, s *submission, _ string) { s.alwaysFails = true },
	"run": func(_ *harness, s *submission, value string) {
		s.runTime = parseSeconds(value)
		s.job.EstimateS = parseNumber(value)
	},
	// The user's estimate, where it differs from the actual run time.
	"estimate": func(_ *harness, s *submission, value string) { s.job.EstimateS = parseNumber(value) },
	"checkpoint": func(_ *harness, s *submission, value string) {
		s.job.CheckpointSaveS, s.job.CheckpointIntervalS = parseNumber(value), checkpointIntervalS
	},
	"extra-bytes": (*harness).padDescription,
}

// padDescription makes a job's description longer by naming so many bytes of machine types that do not exist.
func (h *harness) padDescription(s *submission, value string) {
	const longest, separators = 190, 10
	var names []string
	for _, machineType := range h.types {
		names = append(names, machineType.Name)
	}
	for left := parseInteger(value); left > 0; left -= longest + separators {
		names = append(names, strings.Repeat("x", min(left, longest)))
	}
	s.job.MachineTypes = names
}

// parseJob parses the id and the fields of a job.
func (h *harness) parseJob(words []string) (submission, error) {
	s := submission{runTime: defaultRun, job: wire.Job{
		ID: wire.JobID(words[0]), Class: "work", Team: defaultTeam, Kind: wire.KindArray, PriorityName: "normal",
		Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 1, AllowSpot: true, EstimateS: defaultRun.Seconds(),
	}}
	for _, field := range words[1:] {
		name, value, _ := strings.Cut(field, "=")
		set, ok := jobFields[name]
		if !ok {
			return s, fmt.Errorf("unknown field %q", name)
		}
		set(h, &s, value)
	}
	return s, nil
}

// recordSubmission parses a job and reports its submission to the checker.
func (h *harness) recordSubmission(words []string) (wire.Job, error) {
	s, err := h.parseJob(words)
	if err != nil {
		return s.job, err
	}
	h.checker.JobSubmitted(s.job, s.runTime, s.alwaysFails)
	return s.job, nil
}

func (h *harness) existingJob(_ context.Context, args arguments) error {
	_, err := h.recordSubmission(args.words)
	return err
}

func (h *harness) submit(ctx context.Context, args arguments) error {
	words, member := h.splitMember(args.words)
	job, err := h.recordSubmission(words)
	if err != nil {
		return err
	}
	code, status, err := h.sendSubmit(ctx, member, job)
	if err != nil {
		return err
	}
	return compareResponse(code, status, args.want)
}

func (h *harness) pollJob(ctx context.Context, args arguments) error {
	_, member := h.splitMember(args.words)
	code, status, err := h.poll(ctx, member, wire.JobID(args.words[0]))
	if err != nil {
		return err
	}
	return compareResponse(code, status, args.want)
}

func (h *harness) cancel(ctx context.Context, args arguments) error {
	_, member := h.splitMember(args.words)
	id := wire.JobID(args.words[0])
	h.checker.CancelRequested(id)
	code, status, err := h.sendCancel(ctx, member, id)
	if err != nil {
		return err
	}
	return compareResponse(code, status, args.want)
}

func (h *harness) submitUntilAccepted(ctx context.Context, args arguments) error {
	return h.retry(wire.JobID(args.words[0]), func(member string) error {
		return h.submit(ctx, arguments{words: append(slices.Clone(args.words), "at", member)})
	})
}

func (h *harness) cancelUntilConfirmed(ctx context.Context, args arguments) error {
	id := wire.JobID(args.words[0])
	h.checker.CancelRequested(id)
	return h.retry(id, func(member string) error {
		code, status, err := h.sendCancel(ctx, member, id)
		if err != nil {
			return err
		}
		return compareResponse(code, status, string(wire.JobCancelled))
	})
}

// retry repeats a request at one controller after another until it succeeds and the job is accepted.
func (h *harness) retry(id wire.JobID, request func(member string) error) (err error) {
	const tries = 60
	for try := range tries {
		err = request(h.members[try%len(h.members)])
		if err == nil && slices.Contains(h.checker.AcceptedJobs(), id) {
			return nil
		}
		time.Sleep(time.Second)
	}
	return fmt.Errorf("not successful within %d tries: %w", tries, err)
}

// pollConcurrently makes users poll jobs at all controllers, and repeat the submissions, at intervals of milliseconds
// while the next steps run.
func (h *harness) pollConcurrently(ctx context.Context, args arguments) error {
	const interval = 70 * time.Millisecond
	end := time.Now().Add(parseSeconds(args.words[0]))
	for _, id := range args.words[1:] {
		go func() {
			for round := 0; time.Now().Before(end) && ctx.Err() == nil; round++ {
				h.pollEverywhere(ctx, wire.JobID(id), round%len(h.members))
				time.Sleep(interval)
			}
		}()
	}
	return nil
}

// pollEverywhere polls a job at every controller. At one of them the user repeats the submission instead, once the job
// is accepted. The checker verifies the responses, so pollEverywhere ignores them.
func (h *harness) pollEverywhere(ctx context.Context, id wire.JobID, submitAt int) {
	for i, member := range h.members {
		job, known := h.checker.Job(id)
		if !known {
			continue
		}
		if i == submitAt && slices.Contains(h.checker.AcceptedJobs(), id) {
			_, _, _ = h.sendSubmit(ctx, member, job)
		} else {
			_, _, _ = h.poll(ctx, member, id)
		}
	}
}

// submitStream submits jobs of one task at regular intervals; every fourth is cancelled within seconds.
func (h *harness) submitStream(ctx context.Context, args arguments) error {
	const (
		firstID      = 500000
		cancelEvery  = 4
		cancelDelays = 5 // the cancellation follows after 0, 1, ... 4 seconds
	)
	every := parseSeconds(args.words[0])
	end := time.Now().Add(parseSeconds(args.words[1]))
	for i := 0; time.Now().Before(end); i++ {
		id := wire.JobID(fmt.Sprintf("run-%06d", firstID+i))
		job, err := h.recordSubmission(append([]string{string(id)}, args.words[2:]...))
		if err != nil {
			return err
		}
		code, _, err := h.sendSubmit(ctx, h.members[i%len(h.members)], job)
		if err != nil {
			return err
		}
		if i%cancelEvery == cancelEvery-1 && code < http.StatusMultipleChoices {
			h.checker.CancelRequested(id)
			wait := time.Duration(i%cancelDelays) * time.Second
			time.AfterFunc(wait, func() { h.retryCancel(ctx, id, i) })
		}
		time.Sleep(every)
	}
	return nil
}

// retryCancel requests a cancellation at one controller after another, starting with the one at the index first.
func (h *harness) retryCancel(ctx context.Context, id wire.JobID, first int) {
	const tries = 60
	for try := 0; try < tries && ctx.Err() == nil; try++ {
		member := h.members[(first+try)%len(h.members)]
		if code, _, _ := h.sendCancel(ctx, member, id); code == http.StatusOK {
			return
		}
		time.Sleep(time.Second)
	}
}

// userRequest is a user's request about a job.
type userRequest struct {
	method string
	path   string
	job    wire.JobID
	body   any // request body; nil: none
}

// poll requests the status of a job from a controller.
func (h *harness) poll(ctx context.Context, member string, id wire.JobID) (code int, status string, err error) {
	return h.send(ctx, member, userRequest{method: http.MethodGet, path: wire.PathJobs + "/" + string(id), job: id})
}

// sendSubmit submits a job to a controller.
func (h *harness) sendSubmit(ctx context.Context, member string, job wire.Job) (code int, status string, err error) {
	return h.send(ctx, member, userRequest{method: http.MethodPost, path: wire.PathJobs, job: job.ID, body: job})
}

// sendCancel requests the cancellation of a job from a controller.
func (h *harness) sendCancel(ctx context.Context, member string, id wire.JobID) (code int, status string, err error) {
	path := wire.PathJobs + "/" + string(id) + "/" + wire.ActionCancel
	return h.send(ctx, member, userRequest{method: http.MethodPost, path: path, job: id})
}

// send sends a user's request about a job and reports the response to the checker.
func (h *harness) send(ctx context.Context, member string, request userRequest) (code int, status string, err error) {
	sent := time.Now()
	code, response, err := h.request(ctx, request.method, member, request.path, request.body)
	if err == nil {
		h.checker.ResponseReceived(request.job, sent, code, response.State)
	}
	return code, string(response.State), err
}

// compareResponse compares a response with the expected code or status.
func compareResponse(code int, status, want string) error {
	if want != "" && want != fmt.Sprint(code) && want != status {
		return fmt.Errorf("response %d %q, want %s", code, status, want)
	}
	return nil
}

// splitMember splits "at MEMBER" off the end of the words. Without it, splitMember returns the first controller that
// runs.
func (h *harness) splitMember(words []string) (rest []string, member string) {
	if i := slices.Index(words, "at"); i >= 0 {
		return words[:i], h.resolveMember(words[i+1])
	}
	for _, member := range h.members {
		if h.controllers[member].running() {
			return words, member
		}
	}
	return words, h.members[0]
}
