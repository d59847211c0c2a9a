package settings

import (
	"reflect"
	"testing"
)

// A setting whose name differs from a known one only in case is unknown: it must not replace the known one, whichever
// of them the decoder of the file comes to first.
func TestParseIgnoresNamesInOtherCase(t *testing.T) {
	const repetitions = 20 // the decoder's order is random
	want := parse(t, "")
	cases := map[string][]string{
		"top level":            {`member = "one"`, "member = \"one\"\nMember = \"three\""},
		"before the known one": {`member = "one"`, "MEMBER = \"three\"\nmember = \"one\""},
		"of another type":      {`member = "one"`, "member = \"one\"\nMember = 3"},
		"table":                {`[deployment.workers]`, "[deployment.Workers]\nlease_s = 1.0\n[deployment.workers]"},
		"nested":               {`lease_s = 10.0`, "lease_s = 10.0\nLEASE_S = 1.0\nGang_Wait_S = 9.0"},
		"array of tables":      {`name = "red"`, "name = \"red\"\nCpus_Max = 1.0"},
		"outside ASCII":        {`cancel_s = 30.0`, "cancel_s = 30.0\n\"cancel_\u017f\" = 20.0"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for range repetitions {
				if got := parse(t, "", c...); !reflect.DeepEqual(got, want) {
					t.Fatalf("got %+v, want %+v", got, want)
				}
			}
		})
	}
}

// A required setting in another case does not stand for the missing one.
func TestParseRequiresExactNames(t *testing.T) {
	if _, err := Parse([]byte(replaceSettings(t, `lease_s = 10.0`, `Lease_S = 10.0`)), nil); err == nil {
		t.Error("got no error for settings without lease_s")
	}
}
