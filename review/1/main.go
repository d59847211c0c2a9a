// Command 1 is the test of case 1: two zones can't reach each other while a job that has just been accepted is
// cancelled. See claim.txt.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"saffronbend/review/standin"
	"saffronbend/wire"
)

const (
	startTimeout = 15 * time.Second
	cutFor       = 38 * time.Second
)

// test is the state of one run.
type test struct {
	record     *standin.Recorder
	deployment *standin.Deployment
	jobs       *standin.Jobs
	link       *standin.Link // between the zones
	worker     *standin.Worker

	mu     sync.Mutex
	starts []standin.Start
	told   map[wire.JobID]time.Time // when the user was told that the job is cancelled
}

func main() {
	standin.Main(func(d *standin.Deployment, trouble bool) (int, error) {
		t := &test{
			record: d.Record, deployment: d, jobs: standin.NewJobs(), link: standin.NewLink(),
			told: map[wire.JobID]time.Time{},
		}
		return t.run(trouble)
	})
}

func (t *test) run(trouble bool) (int, error) {
	if err := t.start(); err != nil {
		return standin.Unfit, err
	}
	// Ordinary work: one-task jobs, one a second, so that the machine has their image, and the leader its connection.
	for i := range 6 {
		t.submit(t.job(i, t.deployment.Teams[i%3]), time.Second)
		time.Sleep(time.Second)
	}
	if !standin.Within(10*time.Second, func() bool { return t.startCount() >= 6 }) {
		return standin.Unfit, fmt.Errorf("only %d of the first jobs have started", t.startCount())
	}
	t.submit(t.job(10, t.deployment.Teams[0]), time.Second)
	time.Sleep(time.Second)
	t.record.Printf("the zones can't reach each other from now on: %v", trouble)
	t.link.SetCut(trouble)
	cutAt := time.Now()
	t.submitAndCancel()
	time.Sleep(cutFor - time.Since(cutAt))
	t.record.Printf("the zones can reach each other again")
	t.link.SetCut(false)
	time.Sleep(5 * time.Second)
	return t.judge(), nil
}

// submitAndCancel submits a job of each team and cancels all of them a second later.
func (t *test) submitAndCancel() {
	time.Sleep(100 * time.Millisecond)
	var jobs []wire.Job
	for i, team := range t.deployment.Teams {
		job := t.job(20+i, team)
		jobs = append(jobs, job)
		t.submit(job, time.Minute)
	}
	time.Sleep(1200 * time.Millisecond)
	for i, job := range jobs {
		status, _ := t.deployment.Withdraw(i, job.ID)
		if status == http.StatusOK {
			t.mu.Lock()
			t.told[job.ID] = time.Now()
			t.mu.Unlock()
		}
	}
}

func (t *test) job(number int, team string) wire.Job {
	job := standin.ExamJob(number, team, "img-java", 1)
	south := "hall-south"
	job.Zone = &south
	return job
}

func (t *test) submit(job wire.Job, runTime time.Duration) {
	t.jobs.Upload(standin.Workload{Job: job, RunTime: runTime})
	t.deployment.Submit(1, standin.Body(job))
}

// start starts the deployment: the first controller, which leads, in hall-north, the others and the machine in
// hall-south. Connections between the zones go over the link.
func (t *test) start() error {
	d := t.deployment
	between := func(a, b string) *standin.Link {
		if a == b {
			return nil
		}
		return t.link
	}
	d.PeerLink = func(from, to int) *standin.Link { return between(d.ZoneOf[from], d.ZoneOf[to]) }
	if err := d.Prepare(); err != nil {
		return err
	}
	d.Cloud.NewWorker = t.newWorker
	worker, err := d.Cloud.Add("bench-small", "hall-south", false)
	if err != nil {
		return err
	}
	t.worker = worker
	worker.Start()
	return d.StartAll(startTimeout)
}

func (t *test) newWorker(
	id wire.MachineID, machineType wire.MachineType, zone string, spot bool,
) (*standin.Worker, error) {
	d := t.deployment
	var nodes []standin.Node
	for i, controller := range d.Controllers {
		node := standin.Node{Name: controller.Name, Addr: controller.Addr}
		if d.ZoneOf[i] != zone {
			var err error
			if node.Addr, err = t.link.Forward(controller.Addr); err != nil {
				return nil, err
			}
		}
		nodes = append(nodes, node)
	}
	worker, err := standin.NewWorker(standin.WorkerConfig{
		ID: id, Type: machineType, Zone: zone, Spot: spot, Nodes: nodes, Timing: d.Timing, Jobs: t.jobs,
		Record: t.record, Images: []string{"img-java"}, OnStart: t.started,
	})
	if err != nil {
		return nil, err
	}
	// Only the leader, which is in hall-north, sends direct commands.
	if zone != d.ZoneOf[0] {
		addr, err := t.link.Forward(worker.Address())
		if err != nil {
			return nil, err
		}
		worker.ReportAddress(addr)
	}
	return worker, nil
}

func (t *test) started(start standin.Start) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.starts = append(t.starts, start)
}

func (t *test) startCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.starts)
}

// judge checks the rule ran_cancelled.
func (t *test) judge() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.told) == 0 {
		t.record.Printf("no job was cancelled")
		return standin.Unfit
	}
	result := standin.Held
	for _, start := range t.starts {
		id, _, _ := wire.ParseTaskName(start.Task)
		told, cancelled := t.told[id]
		if late := start.At.Sub(told); cancelled && late > t.deployment.Timing.Cancel {
			t.record.Printf("ran_cancelled is broken: %s started on %s %.1f s after its user was told that the job is"+
				" cancelled, cancel_s is %.0f", start.Task, start.Machine, late.Seconds(), t.deployment.Timing.Cancel.Seconds())
			result = standin.Broke
		}
	}
	if result == standin.Held {
		t.record.Printf("ran_cancelled held")
	}
	return result
}
