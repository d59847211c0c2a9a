package follower

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"reflect"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"saffronbend/internal/health"
	"saffronbend/internal/micros"
	"saffronbend/internal/openjobs"
	"saffronbend/internal/routine"
	"saffronbend/internal/settings"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

const (
	token = 7
	// lateAttempt is an attempt that the leader has granted, and earlierAttempt one of an earlier term.
	lateAttempt    = token<<wire.AttemptNumberBits | 3
	earlierAttempt = (token-2)<<wire.AttemptNumberBits | 3
)

// fakeStore is a store that lists the given records.
type fakeStore struct {
	Store
	records []wire.KeyValue
}

func (s *fakeStore) List(_ context.Context, prefix string) ([]wire.KeyValue, uint64, error) {
	var found []wire.KeyValue
	for _, record := range s.records {
		if strings.HasPrefix(record.Key, prefix) {
			found = append(found, record)
		}
	}
	return found, 1, nil
}

func record(t *testing.T, key string, value any) wire.KeyValue {
	t.Helper()
	encoded, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return wire.KeyValue{Key: key, Value: encoded}
}

// cancelledByEarlierVersion returns the record of a cancelled job that does not say when it was cancelled.
func cancelledByEarlierVersion() state.OpenJobRecord {
	return state.OpenJobRecord{}.Finalized(wire.JobCancelled)
}

// newTestRenewer returns a leaseRenewer that may renew worker leases for a second. It knows that run-1 has ended, with
// lateAttempt of its first task recorded on machine m1 under incarnation 5, and that run-2 has not ended.
func newTestRenewer(t *testing.T) *leaseRenewer {
	t.Helper()
	cfg := &settings.Settings{}
	cfg.Deployment.Workers.LeaseS, cfg.Deployment.Workers.CancelS = 10, 30
	cfg.Deployment.SkewMillis = 50
	clock := micros.NewClock()
	progress := state.ProgressRecord{Active: []state.Placement{{Machine: "m1", Attempt: lateAttempt, Incarnation: 5}}}
	store := &fakeStore{records: []wire.KeyValue{record(t, state.ProgressKey("run-1", 0), progress)}}
	renewer := newLeaseRenewer(Config{
		Settings: cfg,
		Log:      slog.New(slog.DiscardHandler),
		Clock:    clock,
		Store:    store,
		Health:   health.NewMonitor(clock),
	}, token)
	renewer.applyOpenJobs(t.Context(), renewer.jobs, openjobs.Update{RequestedAt: clock.Now()})
	renewer.applyOpenJobs(t.Context(), renewer.jobs, openjobs.Update{
		RequestedAt: clock.Now(),
		Records: []wire.KeyValue{
			record(t, state.OpenJobKey("run-1"), cancelledByEarlierVersion()),
			record(t, state.OpenJobKey("run-2"), state.OpenJobRecord{}),
		},
	})
	renewer.setValidUntil(clock.Now().Add(micros.Second))
	return renewer
}

// checkResponse checks that there is no response if the renewal is refused, and otherwise one with the commands.
func checkResponse(t *testing.T, response *wire.HeartbeatResponse, refused bool, commands []wire.Command) {
	t.Helper()
	if refused {
		if response != nil {
			t.Errorf("the response is %+v, want nil", response)
		}
		return
	}
	want := &wire.HeartbeatResponse{FencingToken: token, Commands: append([]wire.Command{}, commands...)}
	if !reflect.DeepEqual(response, want) {
		t.Errorf("the response is %+v, want %+v", response, want)
	}
}

func TestLeaseRenewerRespond(t *testing.T) {
	listed := func(task string, attempt wire.AttemptID) []wire.TaskStatus {
		return []wire.TaskStatus{{Task: task, Attempt: attempt, State: wire.TaskRunning}}
	}
	taskA, taskB := wire.TaskName("run-1", 0), wire.TaskName("run-2", 0)
	launch := wire.Command{Op: wire.OpStart, Task: taskA, Attempt: lateAttempt}
	stop := wire.StopCommand(taskA, lateAttempt, 0)
	endedRuns := listed(taskA, lateAttempt)
	fromOther := wire.Heartbeat{Machine: "m2"}
	fromRecorded := wire.Heartbeat{Machine: "m1", Incarnation: 5}
	fromRestarted := wire.Heartbeat{Machine: "m1", Incarnation: 6}
	cases := map[string]struct {
		heartbeat wire.Heartbeat
		token     wire.FencingToken // the token in the heartbeat
		tasks     []wire.TaskStatus // the tasks in the heartbeat
		after     time.Duration     // time from the start of the renewer to the heartbeat
		refused   bool
		want      []wire.Command
	}{
		"task of an open job":             {heartbeat: fromOther, tasks: listed(taskB, 4)},
		"task of an ended job":            {heartbeat: fromOther, tasks: endedRuns, want: []wire.Command{stop}},
		"launch may still arrive":         {heartbeat: fromRecorded, want: []wire.Command{launch, stop}},
		"launch has arrived":              {heartbeat: fromRecorded, tasks: endedRuns, want: []wire.Command{stop}},
		"later incarnation":               {heartbeat: fromRestarted},
		"higher fencing token":            {heartbeat: fromOther, token: token + 1, refused: true},
		"fencing token of the leader":     {heartbeat: fromOther, token: token},
		"registration has expired":        {heartbeat: fromOther, after: time.Second, refused: true},
		"registration is about to expire": {heartbeat: fromOther, after: 999 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				renewer := newTestRenewer(t)
				time.Sleep(c.after)
				c.heartbeat.FencingToken, c.heartbeat.Tasks = c.token, c.tasks
				response := renewer.respond(&c.heartbeat)
				checkResponse(t, response, c.refused, c.want)
			})
		})
	}
}

// A renewer that does not know when a job was cancelled launches none of its attempts, however young its process is.
func TestRespondLaunchesNothingAfterCancellationAtUnknownTime(t *testing.T) {
	stop := wire.StopCommand(wire.TaskName("run-1", 0), earlierAttempt, 0)
	cases := map[string]struct {
		attempt     wire.AttemptID
		workerToken wire.FencingToken
		refused     bool
		want        []wire.Command
	}{
		"attempt of the term":            {attempt: lateAttempt, workerToken: token, refused: true},
		"the worker knows the token":     {attempt: earlierAttempt, workerToken: token},
		"the worker knows a later token": {attempt: earlierAttempt, workerToken: token - 1},
		"the launch is not fenced off yet": {
			attempt: earlierAttempt, workerToken: token - 2, want: []wire.Command{stop},
		},
	}
	for name, c := range cases {
		for _, age := range []time.Duration{0, 20 * time.Second, time.Minute} {
			t.Run(fmt.Sprintf("%s/%s", name, age), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					renewer := newTestRenewer(t)
					time.Sleep(age)
					jobs := newEndedJobs()
					renewer.setJobs(jobs)
					progress := state.ProgressRecord{Active: []state.Placement{{Machine: "m1", Attempt: c.attempt, Incarnation: 5}}}
					renewer.cfg.Store = &fakeStore{records: []wire.KeyValue{record(t, state.ProgressKey("run-1", 0), progress)}}
					now := renewer.cfg.Clock.Now()
					ended := record(t, state.OpenJobKey("run-1"), cancelledByEarlierVersion())
					renewer.applyOpenJobs(t.Context(), jobs,
						openjobs.Update{RequestedAt: now, CompleteAt: 9, Records: []wire.KeyValue{ended}})
					renewer.setValidUntil(now.Add(micros.Second))
					response := renewer.respond(&wire.Heartbeat{Machine: "m1", Incarnation: 5, FencingToken: c.workerToken})
					checkResponse(t, response, c.refused, c.want)
				})
			})
		}
	}
}

// The first list of the open-job records does not show when the jobs were cancelled, but the records do. Launch and
// stop are sent for 25 s after that, less the clocks' skew of 0.1 s.
func TestFirstListUsesRecordedCancellation(t *testing.T) {
	cancelledAgo := func(ago micros.Duration) func(clock micros.Clock) state.OpenJobRecord {
		return func(clock micros.Clock) state.OpenJobRecord {
			return state.OpenJobRecord{}.Cancelled(clock.UnixMicro() - int64(ago))
		}
	}
	launchAndStop := []wire.Command{
		{Op: wire.OpStart, Task: wire.TaskName("run-1", 0), Attempt: lateAttempt},
		wire.StopCommand(wire.TaskName("run-1", 0), lateAttempt, 0),
	}
	cases := map[string]struct {
		record      func(clock micros.Clock) state.OpenJobRecord
		skewUnknown bool
		refused     bool
		want        []wire.Command
	}{
		"just cancelled":                    {record: cancelledAgo(0), want: launchAndStop},
		"cancelled before the process":      {record: cancelledAgo(24 * micros.Second), want: launchAndStop},
		"too late with the clocks' skew":    {record: cancelledAgo(24900 * micros.Millisecond), refused: true},
		"cancelled long ago":                {record: cancelledAgo(micros.Minute), refused: true},
		"recorded time in the future":       {record: cancelledAgo(-micros.Second), refused: true},
		"settings without the clocks' skew": {record: cancelledAgo(0), skewUnknown: true, refused: true},
		"cancelled by an earlier version": {
			record: func(micros.Clock) state.OpenJobRecord { return cancelledByEarlierVersion() }, refused: true,
		},
		"done": {
			record: func(micros.Clock) state.OpenJobRecord { return state.OpenJobRecord{}.Finalized(wire.JobDone) },
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				renewer := newTestRenewer(t)
				if c.skewUnknown {
					renewer.cfg.Settings.Deployment.SkewMillis = 0
				}
				renewer.setJobs(newEndedJobs())
				records := []wire.KeyValue{record(t, state.OpenJobKey("run-1"), c.record(renewer.cfg.Clock))}
				renewer.applyOpenJobs(t.Context(), renewer.jobs,
					openjobs.Update{RequestedAt: renewer.cfg.Clock.Now(), CompleteAt: 9, Records: records})
				response := renewer.respond(&wire.Heartbeat{Machine: "m1", Incarnation: 5, FencingToken: token})
				checkResponse(t, response, c.refused, c.want)
			})
		})
	}
}

func TestRespondRefusesRenewalWhenTooLateToStopLaunch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		renewer := newTestRenewer(t)
		heartbeat := &wire.Heartbeat{Machine: "m1", Incarnation: 5}
		time.Sleep(time.Minute)
		now := renewer.cfg.Clock.Now()
		renewer.setValidUntil(now.Add(micros.Second))
		renewer.applyOpenJobs(t.Context(), renewer.jobs, openjobs.Update{RequestedAt: now})
		if response := renewer.respond(heartbeat); response != nil {
			t.Errorf("the response is %+v, want nil because a late launch could start the attempt", response)
		}
		// A job's records are deleted only once none of its attempts can exist any more.
		renewer.applyOpenJobs(t.Context(), renewer.jobs, openjobs.Update{RequestedAt: now, Removed: []wire.JobID{"run-1"}})
		if response := renewer.respond(heartbeat); response == nil {
			t.Error("no response after the job's records were deleted")
		}
	})
}

// A complete list, which the store sends after it has compacted the events, also shows that a job's records were
// deleted. Otherwise the lease of the machine would not be renewed for as long as this watch lasts.
func TestCompleteListRemovesJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		renewer := newTestRenewer(t)
		time.Sleep(time.Minute)
		now := renewer.cfg.Clock.Now()
		renewer.setValidUntil(now.Add(micros.Second))
		heartbeat := &wire.Heartbeat{Machine: "m1", Incarnation: 5}
		ended := record(t, state.OpenJobKey("run-1"), cancelledByEarlierVersion())
		renewer.applyOpenJobs(t.Context(), renewer.jobs,
			openjobs.Update{RequestedAt: now, CompleteAt: 9, Records: []wire.KeyValue{ended}})
		if response := renewer.respond(heartbeat); response != nil {
			t.Errorf("the response is %+v, want nil while the job's records exist", response)
		}
		renewer.applyOpenJobs(t.Context(), renewer.jobs, openjobs.Update{RequestedAt: now, CompleteAt: 10})
		if response := renewer.respond(heartbeat); response == nil || len(response.Commands) != 0 {
			t.Errorf("the response is %+v, want a renewal without commands", response)
		}
	})
}

func TestRespondRefusesRenewalOnStaleCancellations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		renewer := newTestRenewer(t)
		time.Sleep(renewer.cfg.Settings.MaxStaleness().AsDuration())
		renewer.setValidUntil(renewer.cfg.Clock.Now().Add(micros.Second))
		if response := renewer.respond(&wire.Heartbeat{Machine: "m2"}); response != nil {
			t.Errorf("the response is %+v, want nil because the known cancellations are stale", response)
		}
	})
}

// slowStore is a fakeStore whose watches and lists of progress records wait for a message, whatever their context.
type slowStore struct {
	fakeStore
	watched, listed chan struct{}
}

func (s *slowStore) List(ctx context.Context, prefix string) ([]wire.KeyValue, uint64, error) {
	if strings.HasPrefix(prefix, state.ProgressPrefix) {
		<-s.listed
	}
	return s.fakeStore.List(ctx, prefix)
}

func (s *slowStore) Watch(context.Context, string, uint64, time.Duration) (*wire.WatchResponse, error) {
	<-s.watched
	return &wire.WatchResponse{Revision: 2}, nil
}

// A late response to an earlier watch must not make the cancellations that the current watch knows count as fresh: the
// jobs in its first list are not known as ended until their attempts have been read.
func TestLateUpdateOfEarlierWatchIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		renewer := newTestRenewer(t)
		store := &slowStore{watched: make(chan struct{}), listed: make(chan struct{})}
		renewer.cfg.Store = store
		var group routine.Group
		ctx, cancel := context.WithCancel(t.Context())
		start := func() (stop context.CancelFunc) {
			stop, err := renewer.startWatch(ctx, &group)
			if err != nil {
				t.Fatal(err)
			}
			synctest.Wait()
			return stop
		}
		respond := func() *wire.HeartbeatResponse { return renewer.respond(&wire.Heartbeat{Machine: "m1", Incarnation: 5}) }
		stopEarlier := start()
		stopEarlier()
		progress := state.ProgressRecord{Active: []state.Placement{{Machine: "m1", Attempt: lateAttempt, Incarnation: 5}}}
		store.records = []wire.KeyValue{
			record(t, state.OpenJobKey("run-1"), state.OpenJobRecord{}.Cancelled(renewer.cfg.Clock.UnixMicro())),
			record(t, state.ProgressKey("run-1", 0), progress),
		}
		start()
		store.watched <- struct{}{} // the response to the earlier watch
		synctest.Wait()
		if response := respond(); response != nil {
			t.Errorf("the response is %+v, want nil while the attempts of run-1 are being read", response)
		}
		store.listed <- struct{}{}
		synctest.Wait()
		if response := respond(); response == nil || len(response.Commands) != 2 {
			t.Errorf("the response is %+v, want a launch and a stop", response)
		}
		cancel()
		close(store.watched)
		group.Wait()
	})
}
