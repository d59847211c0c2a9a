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

// What a job is where the scenario says nothing else.
const (
	defaultRun          = 10 * time.Second
	defaultTeam         = "red"
	checkpointIntervalS = 5
)

// submission is a job that a user submits, and what only its owner knows.
type submission struct {
	job   wire.Job
	run   time.Duration // of each task
	fails bool          // wherever it runs
}

// jobFields set the fields of a submission, by their names.
var jobFields = map[string]func(w *world, s *submission, value string){
	"tasks":    func(_ *world, s *submission, value string) { s.job.Tasks = integer(value) },
	"cpus":     func(_ *world, s *submission, value string) { s.job.CPUs = number(value) },
	"mem":      func(_ *world, s *submission, value string) { s.job.MemoryGB = number(value) },
	"team":     func(_ *world, s *submission, value string) { s.job.Team = wire.TeamName(value) },
	"shape":    func(_ *world, s *submission, value string) { s.job.Kind = wire.JobKind(value) },
	"urgency":  func(_ *world, s *submission, value string) { s.job.PriorityName = value },
	"image":    func(_ *world, s *submission, value string) { s.job.Image = value },
	"gb":       func(_ *world, s *submission, value string) { s.job.ImageGB = number(value) },
	"zone":     func(_ *world, s *submission, value string) { s.job.Zone = &value },
	"types":    func(_ *world, s *submission, value string) { s.job.MachineTypes = strings.Split(value, ",") },
	"together": func(_ *world, s *submission, _ string) { s.job.SameZone = true },
	"scatter":  func(_ *world, s *submission, _ string) { s.job.SpreadZones = true },
	"ordinary": func(_ *world, s *submission, _ string) { s.job.AllowSpot = false },
	"fails":    func(_ *world, s *submission, _ string) { s.fails = true },
	"run": func(_ *world, s *submission, value string) {
		s.run = secondsOf(value)
		s.job.EstimateS = number(value)
	},
	// The owner's estimate, where the run takes another time.
	"guess": func(_ *world, s *submission, value string) { s.job.EstimateS = number(value) },
	"save": func(_ *world, s *submission, value string) {
		s.job.CheckpointSaveS, s.job.CheckpointIntervalS = number(value), checkpointIntervalS
	},
	"long": (*world).lengthen,
}

// lengthen makes a description long: it names that many bytes of machine types that there are not.
func (w *world) lengthen(s *submission, value string) {
	const longest, separators = 190, 10
	var names []string
	for _, machineType := range w.types {
		names = append(names, machineType.Name)
	}
	for left := integer(value); left > 0; left -= longest + separators {
		names = append(names, strings.Repeat("x", min(left, longest)))
	}
	s.job.MachineTypes = names
}

// parseJob parses the id and the fields of a job.
func (w *world) parseJob(words []string) (submission, error) {
	s := submission{run: defaultRun, job: wire.Job{
		ID: wire.JobID(words[0]), Class: "work", Team: defaultTeam, Kind: wire.KindArray, PriorityName: "normal",
		Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 1, AllowSpot: true, EstimateS: defaultRun.Seconds(),
	}}
	for _, field := range words[1:] {
		name, value, _ := strings.Cut(field, "=")
		set, ok := jobFields[name]
		if !ok {
			return s, fmt.Errorf("unknown field %q", name)
		}
		set(w, &s, value)
	}
	return s, nil
}

// submitted parses a job and reports its submission to the checker.
func (w *world) submitted(words []string) (wire.Job, error) {
	s, err := w.parseJob(words)
	if err != nil {
		return s.job, err
	}
	w.checker.JobSubmitted(s.job, s.run, s.fails)
	return s.job, nil
}

func (w *world) known(_ context.Context, args arguments) error {
	_, err := w.submitted(args.words)
	return err
}

func (w *world) submit(ctx context.Context, args arguments) error {
	words, member := w.cutMember(args.words)
	job, err := w.submitted(words)
	if err != nil {
		return err
	}
	code, status, err := w.askToSubmit(ctx, member, job)
	if err != nil {
		return err
	}
	return compare(code, status, args.want)
}

func (w *world) pollJob(ctx context.Context, args arguments) error {
	_, member := w.cutMember(args.words)
	code, status, err := w.poll(ctx, member, wire.JobID(args.words[0]))
	if err != nil {
		return err
	}
	return compare(code, status, args.want)
}

func (w *world) withdraw(ctx context.Context, args arguments) error {
	_, member := w.cutMember(args.words)
	id := wire.JobID(args.words[0])
	w.checker.CancelRequested(id)
	code, status, err := w.askToCancel(ctx, member, id)
	if err != nil {
		return err
	}
	return compare(code, status, args.want)
}

func (w *world) accept(ctx context.Context, args arguments) error {
	return w.retry(wire.JobID(args.words[0]), func(member string) error {
		return w.submit(ctx, arguments{words: append(slices.Clone(args.words), "at", member)})
	})
}

func (w *world) cancelJob(ctx context.Context, args arguments) error {
	id := wire.JobID(args.words[0])
	w.checker.CancelRequested(id)
	return w.retry(id, func(member string) error {
		code, status, err := w.askToCancel(ctx, member, id)
		if err != nil {
			return err
		}
		return compare(code, status, string(wire.JobCancelled))
	})
}

// retry repeats a request at one controller after another until it is carried out.
func (w *world) retry(id wire.JobID, request func(member string) error) (err error) {
	const tries = 60
	for try := range tries {
		err = request(w.members[try%len(w.members)])
		if err == nil && slices.Contains(w.checker.AcceptedJobs(), id) {
			return nil
		}
		time.Sleep(time.Second)
	}
	return fmt.Errorf("not carried out within %d tries: %w", tries, err)
}

// pollMeanwhile has users ask for some jobs at all controllers in turn, and repeat their submission, again and again
// within milliseconds, while the steps go on.
func (w *world) pollMeanwhile(ctx context.Context, args arguments) error {
	const interval = 70 * time.Millisecond
	end := time.Now().Add(secondsOf(args.words[0]))
	for _, id := range args.words[1:] {
		go func() {
			for round := 0; time.Now().Before(end) && ctx.Err() == nil; round++ {
				w.pollEverywhere(ctx, wire.JobID(id), round%len(w.members))
				time.Sleep(interval)
			}
		}()
	}
	return nil
}

// pollEverywhere asks for a job at every controller; at one of them the user submits it again instead, once it is
// accepted. The checker hears the responses; which they are does not matter here.
func (w *world) pollEverywhere(ctx context.Context, id wire.JobID, submitAt int) {
	for i, member := range w.members {
		job, known := w.checker.Job(id)
		if !known {
			continue
		}
		if i == submitAt && slices.Contains(w.checker.AcceptedJobs(), id) {
			_, _, _ = w.askToSubmit(ctx, member, job)
		} else {
			_, _, _ = w.poll(ctx, member, id)
		}
	}
}

// stream submits jobs of one task again and again; every fourth is cancelled soon after.
func (w *world) stream(ctx context.Context, args arguments) error {
	const (
		firstID     = 500000
		cancelEvery = 4
		waits       = 5 // the cancellation comes after 0, 1, ... seconds
	)
	every := secondsOf(args.words[0])
	end := time.Now().Add(secondsOf(args.words[1]))
	for i := 0; time.Now().Before(end); i++ {
		id := wire.JobID(fmt.Sprintf("run-%06d", firstID+i))
		job, err := w.submitted(append([]string{string(id)}, args.words[2:]...))
		if err != nil {
			return err
		}
		code, _, err := w.askToSubmit(ctx, w.members[i%len(w.members)], job)
		if err != nil {
			return err
		}
		if i%cancelEvery == cancelEvery-1 && code < http.StatusMultipleChoices {
			w.checker.CancelRequested(id)
			wait := time.Duration(i%waits) * time.Second
			time.AfterFunc(wait, func() { w.cancelUntilConfirmed(ctx, id, i) })
		}
		time.Sleep(every)
	}
	return nil
}

// cancelUntilConfirmed asks for a cancellation at one controller after another, from that with the index first on.
func (w *world) cancelUntilConfirmed(ctx context.Context, id wire.JobID, first int) {
	const tries = 60
	for try := 0; try < tries && ctx.Err() == nil; try++ {
		member := w.members[(first+try)%len(w.members)]
		if code, _, _ := w.askToCancel(ctx, member, id); code == http.StatusOK {
			return
		}
		time.Sleep(time.Second)
	}
}

// userRequest is a user's request about a job.
type userRequest struct {
	method string
	path   string
	job    wire.JobID // its id
	body   any        // nil: none
}

// poll asks for a job at a controller.
func (w *world) poll(ctx context.Context, member string, id wire.JobID) (code int, status string, err error) {
	return w.ask(ctx, member, userRequest{method: http.MethodGet, path: wire.PathJobs + "/" + string(id), job: id})
}

// askToSubmit submits a job at a controller.
func (w *world) askToSubmit(ctx context.Context, member string, job wire.Job) (code int, status string, err error) {
	return w.ask(ctx, member, userRequest{method: http.MethodPost, path: wire.PathJobs, job: job.ID, body: job})
}

// askToCancel asks a controller to cancel a job.
func (w *world) askToCancel(ctx context.Context, member string, id wire.JobID) (code int, status string, err error) {
	path := wire.PathJobs + "/" + string(id) + "/" + wire.ActionCancel
	return w.ask(ctx, member, userRequest{method: http.MethodPost, path: path, job: id})
}

// ask sends a user's request and reports the response to the checker.
func (w *world) ask(ctx context.Context, member string, request userRequest) (code int, status string, err error) {
	asked := time.Now()
	code, response, err := w.request(ctx, request.method, member, request.path, request.body)
	if err == nil {
		w.checker.ResponseReceived(request.job, asked, code, response.State)
	}
	return code, string(response.State), err
}

// compare compares a response with the code or the status that is wanted.
func compare(code int, status, want string) error {
	if want != "" && want != fmt.Sprint(code) && want != status {
		return fmt.Errorf("answer %d %q, want %s", code, status, want)
	}
	return nil
}

// cutMember cuts "at MEMBER" off the end of the words. Without it, the first controller that runs is returned.
func (w *world) cutMember(words []string) (rest []string, member string) {
	if i := slices.Index(words, "at"); i >= 0 {
		return words[:i], w.member(words[i+1])
	}
	for _, member := range w.members {
		if w.nodes[member].running() {
			return words, member
		}
	}
	return words, w.members[0]
}
