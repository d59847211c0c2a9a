package wire

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"
)

// messageTypes are the types of the messages that arrive from outside.
var messageTypes = []reflect.Type{
	reflect.TypeFor[Job](), reflect.TypeFor[JobStatus](), reflect.TypeFor[ErrorResponse](),
	reflect.TypeFor[Heartbeat](), reflect.TypeFor[MachineTypes](), reflect.TypeFor[MachineIDs](),
	reflect.TypeFor[MachinePage](), reflect.TypeFor[KeyValue](), reflect.TypeFor[KeyValuePage](),
	reflect.TypeFor[TransactionResult](), reflect.TypeFor[StoreLease](), reflect.TypeFor[WatchResponse](),
}

// wireName returns the name of a field in JSON.
func wireName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

// sampleValue returns a value of a type that is neither zero nor empty, as it stands in JSON.
func sampleValue(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Pointer:
		return sampleValue(t.Elem())
	case reflect.String:
		return `"x"`
	case reflect.Bool:
		return "true"
	case reflect.Slice:
		if t == reflect.TypeFor[json.RawMessage]() {
			return "7"
		}
		return "[" + sampleValue(t.Elem()) + "]"
	case reflect.Struct:
		var fields []string
		for field := range t.Fields() {
			fields = append(fields, fmt.Sprintf("%q:%s", wireName(field), sampleValue(field.Type)))
		}
		return "{" + strings.Join(fields, ",") + "}"
	default: // a number
		return "7"
	}
}

// A field whose name differs from a known one only in case is an unknown field: it must not change the message, whether
// it stands before or behind the known one, or alone.
func TestUnmarshalIgnoresNamesInOtherCase(t *testing.T) {
	for _, messageType := range messageTypes {
		for field := range messageType.Fields() {
			name := wireName(field)
			known := fmt.Sprintf("%q:%s", name, sampleValue(field.Type))
			want := decodeStrictly(t, messageType, "{"+known+"}")
			for _, other := range namesInOtherCase(name) {
				unknown := fmt.Sprintf("%q:null,%q:{\"a\":[0]}", other, other)
				for _, body := range []string{"{" + known + "," + unknown + "}", "{" + unknown + "," + known + "}"} {
					if got := decodeStrictly(t, messageType, body); !reflect.DeepEqual(got, want) {
						t.Errorf("%s from %s is %+v, want %+v", messageType, body, got, want)
					}
				}
				alone := decodeStrictly(t, messageType, "{"+unknown+"}")
				if !reflect.ValueOf(alone).IsZero() {
					t.Errorf("%s from {%s} is %+v, want the zero value", messageType, unknown, alone)
				}
			}
		}
	}
}

// namesInOtherCase returns names that encoding/json takes for a known one: in upper case, with an upper-case initial,
// and with letters outside ASCII that fold to ASCII letters.
func namesInOtherCase(name string) []string {
	folded := strings.NewReplacer("s", "\u017f", "k", "\u212a").Replace(name)
	names := []string{strings.ToUpper(name), strings.ToUpper(name[:1]) + name[1:]}
	if folded != name {
		names = append(names, folded)
	}
	return names
}

// decodeStrictly returns the message in a body; an error ends the test.
func decodeStrictly(t *testing.T, messageType reflect.Type, body string) any {
	t.Helper()
	message := reflect.New(messageType)
	if err := Unmarshal([]byte(body), message.Interface()); err != nil {
		t.Fatalf("%s from %s: %v", messageType, body, err)
	}
	return message.Elem().Interface()
}

// Names of nested objects must match exactly, too.
func TestUnmarshalIgnoresNestedNamesInOtherCase(t *testing.T) {
	body := `{"box":"n-1","pieces":[{"piece":"run-1/0","try":2,"status":"running","Status":"ended","TRY":3}]}`
	var heartbeat Heartbeat
	if err := Unmarshal([]byte(body), &heartbeat); err != nil {
		t.Fatal(err)
	}
	want := TaskStatus{Task: "run-1/0", Attempt: 2, State: TaskRunning}
	if len(heartbeat.Tasks) != 1 || heartbeat.Tasks[0] != want {
		t.Errorf("got tasks %+v, want %+v", heartbeat.Tasks, want)
	}
}

// hasNameInOtherCase reports whether a decoded document has a name that differs from a known one only in case.
func hasNameInOtherCase(document any, known map[string]bool) bool {
	switch document := document.(type) {
	case []any:
		for _, element := range document {
			if hasNameInOtherCase(element, known) {
				return true
			}
		}
	case map[string]any:
		for name, value := range document {
			for other := range known {
				if name != other && strings.EqualFold(name, other) {
					return true
				}
			}
			if hasNameInOtherCase(value, known) {
				return true
			}
		}
	}
	return false
}

// addNames adds the names of the fields of a type, and of the types that it contains, to names.
func addNames(t reflect.Type, names map[string]bool) {
	if t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		addNames(t.Elem(), names)
		return
	}
	if t.Kind() != reflect.Struct {
		return
	}
	for field := range t.Fields() {
		names[wireName(field)] = true
		addNames(field.Type, names)
	}
}

// Apart from names in another case, Unmarshal must return the same results as encoding/json and reject the same inputs.
func FuzzUnmarshalMatchesEncodingJSON(f *testing.F) {
	known := map[string]bool{}
	for i, messageType := range messageTypes {
		addNames(messageType, known)
		f.Add(i, []byte(sampleValue(messageType)))
		f.Add(i, []byte(" "+sampleValue(messageType)+"\n"))
		f.Add(i, []byte(sampleValue(messageType)+"}"))
	}
	f.Fuzz(func(t *testing.T, index int, body []byte) {
		messageType := messageTypes[uint(index)%uint(len(messageTypes))]
		var document any
		if json.Unmarshal(body, &document) == nil && hasNameInOtherCase(document, known) {
			t.Skip("encoding/json would match a name in another case")
		}
		want, got := reflect.New(messageType), reflect.New(messageType)
		wantErr := json.Unmarshal(body, want.Interface())
		err := Unmarshal(body, got.Interface())
		if (err == nil) != (wantErr == nil) {
			t.Fatalf("%s from %q: got error %v, encoding/json returns %v", messageType, body, err, wantErr)
		}
		if err == nil && !reflect.DeepEqual(got.Interface(), want.Interface()) {
			t.Errorf("%s from %q: got %+v, want %+v", messageType, body, got.Elem(), want.Elem())
		}
	})
}

// A page of records is the largest message that the leader decodes often.
func BenchmarkUnmarshalKeyValuePage(b *testing.B) {
	const entries = 200
	value := `{"accepted":1700000000000000,"chunk":48,"job":` + validSubmission + `}`
	entry := `{"k":"open/run-000412","stamp":412,"value":` + value + `}`
	body := []byte(`{"entries":[` + strings.Repeat(entry+",", entries-1) + entry + `],"truncated":false,"ledger":431}`)
	b.ReportAllocs()
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		var page KeyValuePage
		if err := Unmarshal(body, &page); err != nil {
			b.Fatal(err)
		}
	}
}
