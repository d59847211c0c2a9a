package wire

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"
)

// heartbeatBody returns an encoded heartbeat with the given number of running tasks.
func heartbeatBody(tasks int) []byte {
	var list []string
	for i := range tasks {
		list = append(list, fmt.Sprintf(`{"piece":"run-000412/%d","try":%d,"status":"running"}`,
			i, uint64(43)<<20+uint64(i)))
	}
	return []byte(`{"box":"n-000231","address":"10.1.0.232:9000","build":"g8","yard":"a","loaners":true,` +
		`"shift":1,"tick":88,"baton":41,"recall_s":null,"pieces":[` + strings.Join(list, ",") + `]}`)
}

// DecodeHeartbeat must return the same results as encoding/json and reject the same inputs, apart from names in another
// case (TestUnmarshalIgnoresNamesInOtherCase).
func TestDecodeHeartbeatMatchesEncodingJSON(t *testing.T) {
	bodies := []string{string(heartbeatBody(0)), string(heartbeatBody(3)),
		`{"box":"n-1","recall_s":12.5,"pieces":null}`,
		`{"box":"n-1","tick":18446744073709551615,"unknown":{"a":[1,2,{"b":null}]}}`,
		`{"box":"n-\u0031\n\"x\"","pieces":[{"piece":"run-1/0","try":2,"status":"ended","cause":"halted","saved":true}]}`,
		` { "box" : "n-1" , "pieces" : [ ] } `,
		`{"box":"n-1","tick":1,"tick":2}`,
		`{"box":"n-1","tick":18446744073709551616}`, `{"box":"n-1","tick":-1}`, `{"box":"n-1","tick":1.5}`,
		`{"box":"n-1","tick":"1"}`, `{"box":1}`, `{"box":"n-1","pieces":{}}`, `{"box":"n-1"`, `{"box":"n-1"}}`,
		`{"box":"n-1",}`, `["n-1"]`, `"n-1"`, `n-1`, ``, `{"box":"n-1"} x`, `{"box":"n-1","loaners":1}`,
		`{"box":"n-1","recall_s":"soon"}`, "{\"box\":\"a\nb\"}", `{"box":"n-1","pieces":[{"piece":"x"]}`,
	}
	for _, body := range bodies {
		var want Heartbeat
		wantErr := json.Unmarshal([]byte(body), &want)
		got, err := DecodeHeartbeat([]byte(body))
		if (err == nil) != (wantErr == nil && want.Machine != "") {
			t.Errorf("%s: got error %v, encoding/json returns %v", body, err, wantErr)
		}
		if err == nil && !reflect.DeepEqual(*got, want) {
			t.Errorf("%s: got %+v, want %+v", body, *got, want)
		}
	}
}

// A heartbeat without a machine ID can't be attributed to a machine and must be rejected.
func TestDecodeHeartbeatWithoutMachine(t *testing.T) {
	for _, body := range []string{`{}`, `null`, `{"box":""}`, `{"BOX":"n-1"}`} {
		if _, err := DecodeHeartbeat([]byte(body)); err == nil {
			t.Errorf("%s: got no error", body)
		}
	}
}

// A decoded heartbeat must not refer to the request buffer, because the buffer is reused.
func TestDecodeHeartbeatCopiesInput(t *testing.T) {
	body := heartbeatBody(1)
	heartbeat, err := DecodeHeartbeat(body)
	if err != nil {
		t.Fatal(err)
	}
	clear(body)
	if heartbeat.Machine != "n-000231" || heartbeat.Tasks[0].Task != "run-000412/0" {
		t.Errorf("got machine %q and task %q after the buffer was cleared", heartbeat.Machine, heartbeat.Tasks[0].Task)
	}
}

// The leader decodes hundreds of heartbeats per second, so decoding must allocate little: two strings per task, plus a
// number of allocations that does not depend on the number of tasks.
func TestDecodeHeartbeatAllocations(t *testing.T) {
	const tasks, limit = 32, 2*32 + 12
	body := heartbeatBody(tasks)
	got := testing.AllocsPerRun(100, func() {
		if _, err := DecodeHeartbeat(body); err != nil {
			t.Fatal(err)
		}
	})
	if got > limit {
		t.Errorf("got %v allocations for a heartbeat with %d tasks, want at most %d", got, tasks, limit)
	}
}

func BenchmarkDecodeHeartbeat(b *testing.B) {
	for _, tasks := range []int{0, 4, 32} {
		body := heartbeatBody(tasks)
		b.Run(fmt.Sprint(tasks), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := DecodeHeartbeat(body); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
