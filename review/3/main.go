// Command 3 is the test of case 3: a submission has a field that the protocol does not know. See claim.txt.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"saffronbend/review/standin"
	"saffronbend/wire"
)

const (
	startTimeout = 15 * time.Second
	pieces       = 3
	runTime      = 2 * time.Second
	doneTimeout  = 60 * time.Second
	pollInterval = time.Second
)

func main() { standin.Main(run) }

func run(d *standin.Deployment, trouble bool) (int, error) {
	jobs := standin.NewJobs()
	if err := start(d, jobs); err != nil {
		return standin.Unfit, err
	}
	job := standin.ExamJob(1, "certification", "img-java", pieces)
	jobs.Upload(standin.Workload{Job: job, RunTime: runTime})
	body, err := submission(job, trouble)
	if err != nil {
		return standin.Unfit, err
	}
	if status, answer := d.Submit(0, body); status != http.StatusCreated {
		return standin.Unfit, fmt.Errorf("the job was not accepted: %d %s", status, answer)
	}
	for deadline, i := time.Now().Add(doneTimeout), 0; time.Now().Before(deadline); i++ {
		if status, state := d.Poll(i, job.ID); status == http.StatusOK && state.State == wire.JobDone {
			return judge(d.Record, jobs, job), nil
		}
		time.Sleep(pollInterval)
	}
	return standin.Unfit, errors.New("the job was not done in time")
}

// submission returns the submission of a job; with trouble it has a field of the user's own besides the protocol's.
func submission(job wire.Job, trouble bool) ([]byte, error) {
	if !trouble {
		return standin.Body(job), nil
	}
	return json.Marshal(struct {
		wire.Job
		Own int `json:"Pieces"` // how many files the student has handed in
	}{job, 1})
}

// judge checks the rule not_done: the job has just been called done.
func judge(record *standin.Recorder, jobs *standin.Jobs, job wire.Job) int {
	result := standin.Held
	for piece := range job.Tasks {
		if task := wire.TaskName(job.ID, piece); !jobs.Done(task) {
			record.Printf("not_done is broken: %s is called done, and %s has not completed", job.ID, task)
			result = standin.Broke
		}
	}
	if result == standin.Held {
		record.Printf("not_done held")
	}
	return result
}

// start starts three controllers and one machine.
func start(d *standin.Deployment, jobs *standin.Jobs) error {
	if err := d.Prepare(); err != nil {
		return err
	}
	d.NewPlainWorkers(jobs, "img-java")
	worker, err := d.Cloud.Add("bench-small", "hall-north", false)
	if err != nil {
		return err
	}
	worker.Start()
	return d.StartAll(startTimeout)
}
