package loopback

import (
	"bytes"
	"fmt"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"saffronbend/internal/invariant"
	"saffronbend/internal/scenario"
	"saffronbend/wire"
)

// Lines of the controllers' logs: a leader's term starts, a disruption starts, a disruption ends.
var (
	termStarted       = regexp.MustCompile(`msg=leading controller=(\S+) fencing_token=`)
	disruptionStarted = regexp.MustCompile(
		`msg="task disrupted" controller=(\S+) task=(\S+) attempt=(\d+) team=\S+ reason=(\S+)`)
	disruptionEnded = regexp.MustCompile(`msg="task disruption ended" controller=(\S+) task=(\S+)`)
)

// disruptionLog is what the controllers' logs contain about disruptions.
type disruptionLog struct {
	attempts   map[string]bool   // the attempts whose disruption was logged
	reasons    map[string]string // reason of each task's last disruption
	duplicates []string          // attempts whose disruption was counted twice
}

// parseDisruptionLog parses the controllers' logs. In a leader's term, the disruption of an attempt may be counted
// once. The next leader may count the loss of an attempt again if it finds no record of it. Once the disruption has
// ended, no controller may count the loss of that attempt again.
func parseDisruptionLog(logs string) disruptionLog {
	c := disruptionLog{attempts: map[string]bool{}, reasons: map[string]string{}}
	seenInTerm, finished, last := map[string]bool{}, map[string]bool{}, map[string]string{}
	for line := range strings.Lines(logs) {
		if termStarted.MatchString(line) {
			clear(seenInTerm)
		}
		if m := disruptionEnded.FindStringSubmatch(line); m != nil {
			finished[last[m[2]]] = true
		}
		m := disruptionStarted.FindStringSubmatch(line)
		if m == nil {
			continue
		}
		attempt := m[2] + " " + m[3]
		if seenInTerm[m[1]+" "+attempt] || finished[attempt] && m[4] == "lost" {
			c.duplicates = append(c.duplicates, attempt)
		}
		seenInTerm[m[1]+" "+attempt] = true
		c.attempts[attempt], c.reasons[m[2]], last[m[2]] = true, m[4], attempt
	}
	return c
}

// parseDisruptionLog must report disruptions that are counted twice, and no others.
func TestParseDisruptionLog(t *testing.T) {
	begin := func(member, task, attempt, reason string) string {
		return fmt.Sprintf("msg=\"task disrupted\" controller=%s task=%s attempt=%s team=red reason=%s machine=n-1\n",
			member, task, attempt, reason)
	}
	end := func(member, task string) string {
		return `msg="task disruption ended" controller=` + member + " task=" + task + " team=red\n"
	}
	const next = "msg=leading controller=c1 fencing_token=9\n"
	for _, c := range []struct {
		name, logs string
		duplicates int
	}{
		{"twice in a term", begin("c0", "a", "1", "lost") + begin("c0", "a", "1", "lost"), 1},
		{"found by the next leader", begin("c0", "a", "1", "lost") + next + begin("c1", "a", "1", "lost"), 0},
		{"lost again after the end of its disruption",
			begin("c0", "a", "1", "lost") + end("c0", "a") + next + begin("c1", "a", "1", "lost"), 1},
		{"eviction decided again by the next leader",
			begin("c0", "a", "1", "drain") + next + end("c1", "a") + begin("c1", "a", "1", "drain"), 0},
		{"the next attempt is lost", begin("c0", "a", "1", "lost") + end("c0", "a") + begin("c0", "a", "2", "lost"), 0},
	} {
		if got := parseDisruptionLog(c.logs); len(got.duplicates) != c.duplicates {
			t.Errorf("%s: %v", c.name, got.duplicates)
		}
	}
}

// Guards against disruptions that a controller counts twice, or does not count. TestDrainOnLoopback drains twenty
// machines over real connections, with faults. The scenario runner checks the workers' logs against the disruption
// budgets; the test logs each disruption.
func TestDrainOnLoopback(t *testing.T) {
	s := scenario.Read(t, "testdata/drain-twenty-machines.txtar")
	var logs bytes.Buffer
	start := time.Now()
	events, err := s.RunOn(t.Context(), newLoopback(t), &logs)
	if err != nil {
		t.Log(logs.String())
		t.Fatal(err)
	}
	parsed := parseDisruptionLog(logs.String())
	for _, attempt := range parsed.duplicates {
		t.Errorf("the disruption of %s is counted twice", attempt)
	}
	all, _ := invariant.AuditDisruptions(events, nil, 0)
	durations := map[wire.TeamName]*hdrhistogram.Histogram{}
	for _, d := range all {
		if durations[d.Team] == nil {
			durations[d.Team] = hdrhistogram.New(1, time.Minute.Milliseconds(), 3)
		}
		t.Logf("%s %s %s: from %.2f s to %.2f s",
			d.Team, d.Task, parsed.reasons[d.Task], d.Begin.Sub(start).Seconds(), d.End.Sub(start).Seconds())
		if d.End.IsZero() {
			t.Errorf("the disruption of %s has no end", d.Task)
			continue
		}
		if err := durations[d.Team].RecordValue(d.End.Sub(d.Begin).Milliseconds()); err != nil {
			t.Error(err)
		}
	}
	for team, h := range durations {
		t.Logf("%s: %d disruptions, duration %s", team, h.TotalCount(), quantiles(h))
	}
	const drained = 20
	if len(parsed.attempts) < len(all) || len(all) < drained {
		t.Errorf("the controllers counted %d disruptions, the workers' logs show %d; want at least %d",
			len(parsed.attempts), len(all), drained)
	}
}
