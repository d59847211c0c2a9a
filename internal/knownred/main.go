// Command knownred runs go test without the known failures, that is, the tests listed in KNOWN-RED.txt. test.sh calls
// it; it is not part of the scheduler.
//
//	go run ./internal/knownred [FLAG...] -- PACKAGE...
//
// FLAG and PACKAGE are passed to go test. KNOWN-RED.txt in the working directory is optional. Each of its lines names
// one test that fails because of a known bug:
//
//	PACKAGE TestName | cause | issue
//
// TestName may be a subtest, spelled as in the output of go test -v (TestParse/empty_file). The command prints the
// tests that it skips. It fails before it runs any other test if the list has more than three lines, a malformed line,
// or a test that does not exist.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
)

// listFile is the file that lists the known failures.
const listFile = "KNOWN-RED.txt"

// errUsage is returned for invalid command-line arguments.
var errUsage = errors.New("the arguments must be [FLAG...] -- PACKAGE [PACKAGE...]")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	err := run(ctx, ".", os.Args[1:], os.Stdout)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
}

// run runs the tests of the module with the root dir, and writes the output of go test to out.
func run(ctx context.Context, dir string, args []string, out io.Writer) error {
	separator := slices.Index(args, "--")
	if separator < 0 || separator == len(args)-1 {
		return errUsage
	}
	tests := testCommand{dir: dir, flags: args[:separator], out: out}
	packages := args[separator+1:]

	data, err := os.ReadFile(filepath.Join(dir, listFile))
	if errors.Is(err, fs.ErrNotExist) {
		return tests.run(ctx, packages, "")
	}
	if err != nil {
		return err
	}
	failures, err := parseList(string(data))
	if err != nil {
		return fmt.Errorf("%s: %w", listFile, err)
	}
	for _, failure := range failures {
		if err := tests.checkExists(ctx, failure); err != nil {
			return fmt.Errorf("%s: %w", listFile, err)
		}
		if _, err := fmt.Fprintf(out, "known failure, skipped: %v\n", failure); err != nil {
			return err
		}
	}
	return tests.runExcluding(ctx, packages, failures)
}

// testCommand runs go test, possibly several times, with the same flags for different packages.
type testCommand struct {
	dir   string
	flags []string
	out   io.Writer
}

// runExcluding runs the tests of the packages except the known failures. Packages with known failures are tested one by
// one: go test applies -skip to all packages that it is given, and would also skip tests of the same name in other
// packages.
func (c testCommand) runExcluding(ctx context.Context, patterns []string, failures []knownFailure) error {
	packages, err := c.listPackages(ctx, patterns)
	if err != nil {
		return err
	}
	skipped := map[string][]string{}
	for _, failure := range failures {
		skipped[failure.pkg] = append(skipped[failure.pkg], failure.test)
	}
	var unaffected, affected []string
	for _, pkg := range packages {
		if skipped[pkg] == nil {
			unaffected = append(unaffected, pkg)
		} else {
			affected = append(affected, pkg)
		}
	}
	var errs []error
	if len(unaffected) > 0 {
		errs = append(errs, c.run(ctx, unaffected, ""))
	}
	for _, pkg := range affected {
		errs = append(errs, c.run(ctx, []string{pkg}, exactPattern(skipped[pkg])))
	}
	return errors.Join(errs...)
}

// run runs the tests of the packages except those that match the pattern skip. An empty pattern skips no tests.
func (c testCommand) run(ctx context.Context, packages []string, skip string) error {
	args := append([]string{"test"}, c.flags...)
	if skip != "" {
		args = append(args, "-skip", skip)
	}
	command := c.command(ctx, append(args, packages...)...)
	command.Stdout, command.Stderr = c.out, c.out
	if err := command.Run(); err != nil {
		return fmt.Errorf("go test: %w", err)
	}
	return nil
}

// listPackages returns the import paths of the packages that match the patterns.
func (c testCommand) listPackages(ctx context.Context, patterns []string) ([]string, error) {
	output, err := c.command(ctx, append([]string{"list"}, patterns...)...).Output()
	if err != nil {
		return nil, fmt.Errorf("go list %s: %w", strings.Join(patterns, " "), err)
	}
	return strings.Fields(string(output)), nil
}

// checkExists returns an error if a test does not exist. go test -list shows only top-level tests, and subtests are
// created when their parent test runs. So a subtest is run on its own, and its result is ignored.
func (c testCommand) checkExists(ctx context.Context, failure knownFailure) error {
	packages, err := c.listPackages(ctx, []string{failure.pkg})
	if err != nil || !slices.Equal(packages, []string{failure.pkg}) {
		return fmt.Errorf("there is no package %s: packages must be listed by import path", failure.pkg)
	}
	args := append([]string{"test"}, c.flags...)
	topLevel, _, isSubtest := strings.Cut(failure.test, "/")
	if isSubtest {
		args = append(args, "-v", "-run", exactPattern([]string{failure.test}), failure.pkg)
	} else {
		args = append(args, "-list", exactPattern([]string{topLevel}), failure.pkg)
	}
	output, err := c.command(ctx, args...).CombinedOutput()
	if err != nil && !isSubtest {
		return fmt.Errorf("listing the tests of %s: %w\n%s", failure.pkg, err, output)
	}
	for line := range strings.Lines(string(output)) {
		line = strings.TrimPrefix(strings.TrimSpace(line), "=== RUN")
		if strings.TrimSpace(line) == failure.test {
			return nil
		}
	}
	return fmt.Errorf("there is no test %s in %s", failure.test, failure.pkg)
}

func (c testCommand) command(ctx context.Context, args ...string) *exec.Cmd {
	command := exec.CommandContext(ctx, "go", args...)
	command.Dir = c.dir
	return command
}
