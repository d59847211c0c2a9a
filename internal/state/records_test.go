package state

import (
	"encoding/json"
	"errors"
	"reflect"
	"testing"

	"saffronbend/wire"
)

// The encoding is stored and read by other versions, so it must not change. Empty optional fields are omitted.
func TestRecordEncoding(t *testing.T) {
	cases := []struct {
		name   string
		record any
		want   string
	}{
		{"leader", &LeaderRecord{"c1", 3}, `{"member":"c1","run":3}`},
		{"job status", &JobStatusRecord{wire.JobCancelled}, `{"status":"aborted"}`},
		{"progress", &ProgressRecord{Done: "05", Active: []Placement{{1, "n-1", 9, 2}}, IdempotencyMark: "a.1"},
			`{"d":"05","a":[{"t":1,"m":"n-1","n":9,"s":2}],"w":"a.1"}`},
		{"empty progress", &ProgressRecord{}, `{"w":""}`},
		{"disruption", &DisruptionRecord{Open: []OpenDisruption{{1, 9, "drain", "n-2"}, {Task: 2, Cause: "lost"}}},
			`{"o":[{"t":1,"n":9,"c":"drain","m":"n-2"},{"t":2,"n":0,"c":"lost"}],"w":""}`},
		{"drain", &DrainRecord{Name: "x", State: "running", RequestFingerprint: "r", Step: 2, StartedAt: 5,
			MachineListID: "41.3", MachinePages: 1, MachineCount: 4},
			`{"name":"x","state":"running","request":"r","step":2,"started":5,"list":"41.3","pages":1,"machines":4}`},
		{"rebalancing", &RebalancingRecord{true}, `{"paused":true}`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			encoded, err := json.Marshal(c.record)
			if err != nil || string(encoded) != c.want {
				t.Errorf("got encoding %s, error %v; want %s", encoded, err, c.want)
			}
			decoded := reflect.New(reflect.TypeOf(c.record).Elem()).Interface()
			if err := DecodeRecord(wire.KeyValue{Value: encoded}, decoded); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(decoded, c.record) {
				t.Errorf("after decoding: got %+v, want %+v", decoded, c.record)
			}
		})
	}
}

func TestDecodeRecordErrorContainsKey(t *testing.T) {
	err := DecodeRecord(wire.KeyValue{Key: "open/run-1", Value: json.RawMessage(`{"chunk":"x"}`)}, new(OpenJobRecord))
	var recordError *RecordError
	if !errors.As(err, &recordError) || recordError.Key != "open/run-1" {
		t.Fatalf("got error %v, want a RecordError for key open/run-1", err)
	}
	var typeError *json.UnmarshalTypeError
	if !errors.As(err, &typeError) {
		t.Errorf("error %v does not wrap the decoding error", err)
	}
}

func TestFinalizedKeepsOnlyNeededFields(t *testing.T) {
	zone := "a"
	open := OpenJobRecord{AcceptedAt: 5, ShardSize: 16, Job: wire.Job{
		ID: "run-1", Class: "c", Team: "red", Kind: wire.KindGang, PriorityName: "high", Tasks: 3, CPUs: 1, GPUs: 2,
		MemoryGB: 3, SameZone: true, Image: "img", MachineTypes: []string{"g8"}, Zone: &zone, EstimateS: 60}}
	done := JobFinalState{FinalState: wire.JobDone}
	want := OpenJobRecord{AcceptedAt: 5, ShardSize: 16, JobFinalState: done, Job: wire.Job{
		ID: "run-1", Team: "red", Kind: wire.KindGang, PriorityName: "high", Tasks: 3, CPUs: 1, GPUs: 2,
		MemoryGB: 3, SameZone: true}}
	if got := open.Finalized(wire.JobDone); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if open.Job.Image != "img" || open.FinalState != "" {
		t.Error("Finalized modified the original record")
	}
}

func TestCancelledRecordHoldsTime(t *testing.T) {
	const cancelledAt = 7
	open := OpenJobRecord{AcceptedAt: 5, Job: wire.Job{ID: "run-1", Image: "img"}}
	got := open.Cancelled(cancelledAt)
	if got.CancelledAt == nil || *got.CancelledAt != cancelledAt || got.FinalState != wire.JobCancelled {
		t.Errorf("got %+v, want state cancelled at %d", got.JobFinalState, cancelledAt)
	}
	if got.Job.Image != "" || open.CancelledAt != nil {
		t.Errorf("got %+v, want the finalized job and the original record unchanged", got.Job)
	}
}
