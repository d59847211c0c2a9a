package main

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// writeModule writes a module with three packages and returns its root directory. Packages one, two and three each have
// a test TestBad, which passes in two and fails in the others. A non-empty list is written to KNOWN-RED.txt.
func writeModule(t *testing.T, list string) string {
	t.Helper()
	const tests = `package PACKAGE

import "testing"

func TestGood(t *testing.T) {}

func TestBad(t *testing.T) { t.Error("bad") }

func TestTable(t *testing.T) {
	t.Run("good case", func(t *testing.T) {})
	t.Run("bad case", func(t *testing.T) { t.Error("bad") })
	t.Run("other bad case", func(t *testing.T) { t.Error("bad") })
}
`
	files := map[string]string{
		"go.mod":           "module example\n\ngo 1.26\n",
		"one/one_test.go":  strings.ReplaceAll(tests, "PACKAGE", "one"),
		"two/two_test.go":  "package two\n\nimport \"testing\"\n\nfunc TestBad(t *testing.T) {}\n",
		"three/three.go":   "package three\n",
		"three/x_test.go":  "package three\n\nimport \"testing\"\n\nfunc TestBad(t *testing.T) { t.Error(\"bad\") }\n",
		"three/README.txt": "",
	}
	if list != "" {
		files[listFile] = list
	}
	dir := t.TempDir()
	for name, text := range files {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// List entries that together cover all failures of package one.
const (
	badLine      = "example/one TestBad | not fixed yet | issue 1\n"
	badCaseLine  = "example/one TestTable/bad_case | not fixed yet | issue 2\n"
	otherBadLine = "example/one TestTable/other_bad_case | not fixed yet | issue 3\n"
)

// runTest is a list of known failures, and the expected result of a run with it.
type runTest struct {
	name           string
	list           string
	packages       []string
	wantErr        string // substring of the error; empty if no error is expected
	wantOutput     []string
	unwantedOutput []string // substrings that the output must not contain
}

var runTests = []runTest{
	{
		name:       "no list, tests pass",
		packages:   []string{"./two"},
		wantOutput: []string{"ok  \texample/two"},
	},
	{
		name:       "no list, a test fails",
		packages:   []string{"./..."},
		wantErr:    "go test",
		wantOutput: []string{"--- FAIL: TestBad", "--- FAIL: TestTable/bad_case", "ok  \texample/two"},
	},
	{
		name:     "all failures listed",
		list:     badLine + badCaseLine + otherBadLine,
		packages: []string{"./one", "./two"},
		wantOutput: []string{"known failure, skipped: example/one TestTable/bad_case: not fixed yet (issue 2)",
			"known failure, skipped: example/one TestBad", "--- PASS: TestTable/good_case", "--- PASS: TestGood",
			"ok  \texample/one", "ok  \texample/two"},
		unwantedOutput: []string{"=== RUN   TestTable/bad_case", "=== RUN   TestTable/other_bad_case"},
	},
	{
		name:           "a subtest that is not listed fails",
		list:           badLine + badCaseLine,
		packages:       []string{"./one", "./two"},
		wantErr:        "go test",
		wantOutput:     []string{"--- FAIL: TestTable/other_bad_case", "ok  \texample/two"},
		unwantedOutput: []string{"=== RUN   TestTable/bad_case"},
	},
	{
		name:       "a test of the same name in another package fails",
		list:       badLine + badCaseLine + otherBadLine,
		packages:   []string{"./..."},
		wantErr:    "go test",
		wantOutput: []string{"--- FAIL: TestBad", "FAIL\texample/three", "ok  \texample/one"},
	},
	{
		name:           "a test of the same name in another package runs",
		list:           "example/three TestBad | not fixed yet | issue 1\n",
		packages:       []string{"./two", "./three"},
		wantOutput:     []string{"--- PASS: TestBad", "ok  \texample/two", "ok  \texample/three"},
		unwantedOutput: []string{"--- FAIL"},
	},
	{
		name:           "four lines",
		list:           badLine + badCaseLine + otherBadLine + "example/three TestBad | not fixed yet | issue 4\n",
		packages:       []string{"./..."},
		wantErr:        errTooMany.Error(),
		unwantedOutput: []string{"example/two"},
	},
	{
		name:           "a test that does not exist",
		list:           "example/one TestBa | not fixed yet | issue 1\n",
		packages:       []string{"./two"},
		wantErr:        "there is no test TestBa in example/one",
		unwantedOutput: []string{"example/two"},
	},
	{
		name:     "a subtest that does not exist",
		list:     "example/one TestTable/case | not fixed yet | issue 1\n",
		packages: []string{"./two"},
		wantErr:  "there is no test TestTable/case in example/one",
	},
	{
		name:     "a package that does not exist",
		list:     "example/four TestBad | not fixed yet | issue 1\n",
		packages: []string{"./two"},
		wantErr:  "there is no package example/four",
	},
	{
		name:     "a package listed by its directory",
		list:     "./one TestBad | not fixed yet | issue 1\n",
		packages: []string{"./two"},
		wantErr:  "there is no package ./one",
	},
	{
		name:     "a malformed line",
		list:     "example/one TestBad | not fixed yet\n",
		packages: []string{"./two"},
		wantErr:  errMalformedLine.Error(),
	},
}

func TestRunSkipsOnlyListedTests(t *testing.T) {
	t.Setenv("GOFLAGS", "")
	for _, c := range runTests {
		t.Run(c.name, func(t *testing.T) { testRun(t, c) })
	}
}

func testRun(t *testing.T, c runTest) {
	t.Helper()
	var out bytes.Buffer
	err := run(t.Context(), writeModule(t, c.list), append([]string{"-v", "--"}, c.packages...), &out)
	if err == nil && c.wantErr != "" || err != nil && (c.wantErr == "" || !strings.Contains(err.Error(), c.wantErr)) {
		t.Errorf("error %v, want %q", err, c.wantErr)
	}
	for _, part := range c.wantOutput {
		if !strings.Contains(out.String(), part) {
			t.Errorf("output lacks %q", part)
		}
	}
	for _, part := range c.unwantedOutput {
		if strings.Contains(out.String(), part) {
			t.Errorf("output has %q", part)
		}
	}
	if t.Failed() {
		t.Log(out.String())
	}
}

func TestRunUsageErrors(t *testing.T) {
	for _, args := range [][]string{nil, {"./..."}, {"-v", "--"}} {
		if err := run(t.Context(), t.TempDir(), args, &bytes.Buffer{}); err == nil {
			t.Errorf("%q: no error", args)
		}
	}
}

func TestParseList(t *testing.T) {
	const line = "example/one TestA | cause | issue 1\n"
	for _, c := range []struct {
		name, text string
		failures   int
		err        error
	}{
		{"empty", "", 0, nil},
		{"empty lines", "\n" + line + "\n", 1, nil},
		{"no test", "example/one | cause | issue\n", 0, errMalformedLine},
		{"not a test", "example/one BenchmarkA | cause | issue\n", 0, errMalformedLine},
		{"no cause", "example/one TestA | | issue\n", 0, errMalformedLine},
		{"no issue", "example/one TestA | cause |\n", 0, errMalformedLine},
		{"spaces in the test", "example/one TestA b | cause | issue\n", 0, errMalformedLine},
		{"too many columns", "example/one TestA | cause | issue | more\n", 0, errMalformedLine},
	} {
		t.Run(c.name, func(t *testing.T) {
			failures, err := parseList(c.text)
			if len(failures) != c.failures || !errors.Is(err, c.err) {
				t.Errorf("%d failures, error %v; want %d, %v", len(failures), err, c.failures, c.err)
			}
		})
	}
	if _, err := parseList(line + line); err == nil || !strings.Contains(err.Error(), "twice") {
		t.Errorf("a test listed twice: %v", err)
	}
}

func TestExactPattern(t *testing.T) {
	const want = `^TestA$|^TestB$/^x\.y\+z$`
	if got := exactPattern([]string{"TestA", "TestB/x.y+z"}); got != want {
		t.Errorf("%s, want %s", got, want)
	}
}
