package leader

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"testing"

	"saffronbend/internal/fenced"
	"saffronbend/internal/manager"
	"saffronbend/internal/state"
	"saffronbend/internal/worker"
	"saffronbend/wire"
)

func TestPushOutcomeFromResultAndError(t *testing.T) {
	cases := map[string]struct {
		executed bool
		err      error
		want     manager.PushOutcome
	}{
		"executed":  {true, nil, manager.PushExecuted},
		"not sent":  {false, fmt.Errorf("dial: %w", worker.ErrNotSent), manager.PushNotSent},
		"timed out": {false, context.DeadlineExceeded, manager.PushOutcomeUnknown},
		"refused":   {false, nil, manager.PushRefused},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := pushOutcome(c.executed, c.err); got != c.want {
				t.Errorf("pushOutcome(%v, %v) = %v, want %v", c.executed, c.err, got, c.want)
			}
		})
	}
}

func TestWasCommittedComparesStoredRecord(t *testing.T) {
	stored := func(value string) *wire.KeyValue { return &wire.KeyValue{Value: json.RawMessage(value), Version: 9} }
	progress := manager.RecordChange{Value: state.ProgressRecord{IdempotencyMark: "1.7"}, IdempotencyMark: "1.7"}
	deletion := manager.RecordChange{}
	completion := manager.RecordChange{Value: state.JobStatusRecord{State: wire.JobDone}}
	cases := map[string]struct {
		change manager.RecordChange
		item   *wire.KeyValue
		want   bool
	}{
		"progress with the batch's mark":        {progress, stored(`{"w":"1.7"}`), true},
		"progress with another mark":            {progress, stored(`{"w":"1.6"}`), false},
		"progress that can't be decoded":        {progress, stored(`{`), false},
		"progress that no longer exists":        {progress, nil, false},
		"deletion, the record no longer exists": {deletion, nil, true},
		"deletion, the record still exists":     {deletion, stored(`{}`), false},
		"completion, the job is done":           {completion, stored(`{"status":"done"}`), true},
		"completion, the job is cancelled":      {completion, stored(`{"status":"cancelled"}`), false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := wasCommitted(c.change, c.item); got != c.want {
				t.Errorf("wasCommitted(%+v, %+v) = %v, want %v", c.change, c.item, got, c.want)
			}
		})
	}
}

func TestEncodeAddsEachConditionOnce(t *testing.T) {
	term := &Term{writer: fenced.NewWriter(nil, 7, 1, 10)}
	txn, largest, err := term.encode(&manager.WriteBatch{
		Changes: []manager.RecordChange{
			{Key: "tasks/a/0", Version: 3, Value: "four"},
			{Key: "tasks/b/0", Version: 4},
		},
		OpenJobRecordConditions: []manager.RecordChange{
			{Key: "open/a", Version: 5},
			{Key: "tasks/b/0", Version: 4}, // duplicates the condition of the change
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	want := wire.Transaction{
		If: []wire.Condition{
			{Key: state.LeaderKey, Version: 7},
			{Key: "tasks/a/0", Version: 3}, {Key: "tasks/b/0", Version: 4}, {Key: "open/a", Version: 5},
		},
		Then: []wire.Change{{Put: "tasks/a/0", Value: json.RawMessage(`"four"`)}, {Delete: "tasks/b/0"}},
	}
	if !reflect.DeepEqual(txn, want) {
		t.Errorf("the transaction is\n%+v\nwant\n%+v", txn, want)
	}
	if want := len(`"four"`); largest != want {
		t.Errorf("the largest value has %d bytes, want %d", largest, want)
	}
}

func TestEncodeErrorNamesRecord(t *testing.T) {
	term := &Term{writer: fenced.NewWriter(nil, 7, 1, 10)}
	_, _, err := term.encode(&manager.WriteBatch{Changes: []manager.RecordChange{{Key: "tasks/a/0", Value: func() {}}}})
	var recordErr *state.RecordError
	if !errors.As(err, &recordErr) || recordErr.Key != "tasks/a/0" {
		t.Errorf("the error is %v, want a *state.RecordError for tasks/a/0", err)
	}
}
