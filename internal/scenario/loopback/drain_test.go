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

// Words of the controllers' logs: a term begins, a disturbance begins, it ends.
var (
	leads = regexp.MustCompile(`msg=leading controller=(\S+) fencing_token=`)
	begun = regexp.MustCompile(`msg="task disrupted" controller=(\S+) task=(\S+) attempt=(\d+) team=\S+ reason=(\S+)`)
	ended = regexp.MustCompile(`msg="task disruption ended" controller=(\S+) task=(\S+)`)
)

// counts is what the controllers' logs say of disturbances.
type counts struct {
	attempts map[string]bool   // that were counted
	causes   map[string]string // the last, by task
	twice    []string          // attempts that were counted twice
}

// readCounts reads the controllers' logs. In a term an attempt is counted once. A next leader that finds the loss of
// one not recorded counts it itself; but once the disturbance has ended, its loss is not counted again by anybody.
func readCounts(logs string) counts {
	c := counts{attempts: map[string]bool{}, causes: map[string]string{}}
	inTerm, finished, last := map[string]bool{}, map[string]bool{}, map[string]string{}
	for line := range strings.Lines(logs) {
		if leads.MatchString(line) {
			clear(inTerm)
		}
		if m := ended.FindStringSubmatch(line); m != nil {
			finished[last[m[2]]] = true
		}
		m := begun.FindStringSubmatch(line)
		if m == nil {
			continue
		}
		attempt := m[2] + " " + m[3]
		if inTerm[m[1]+" "+attempt] || finished[attempt] && m[4] == "lost" {
			c.twice = append(c.twice, attempt)
		}
		inTerm[m[1]+" "+attempt] = true
		c.attempts[attempt], c.causes[m[2]], last[m[2]] = true, m[4], attempt
	}
	return c
}

// The reading of the logs finds what is counted twice, and nothing else.
func TestReadCounts(t *testing.T) {
	begin := func(member, task, attempt, cause string) string {
		return fmt.Sprintf("msg=\"task disrupted\" controller=%s task=%s attempt=%s team=red reason=%s machine=n-1\n",
			member, task, attempt, cause)
	}
	end := func(member, task string) string {
		return `msg="task disruption ended" controller=` + member + " task=" + task + " team=red\n"
	}
	const next = "msg=leading controller=c1 fencing_token=9\n"
	for _, c := range []struct {
		name, logs string
		twice      int
	}{
		{"twice in a term", begin("c0", "a", "1", "lost") + begin("c0", "a", "1", "lost"), 1},
		{"learned by the next leader", begin("c0", "a", "1", "lost") + next + begin("c1", "a", "1", "lost"), 0},
		{"lost again after its end",
			begin("c0", "a", "1", "lost") + end("c0", "a") + next + begin("c1", "a", "1", "lost"), 1},
		{"an eviction decided anew",
			begin("c0", "a", "1", "drain") + next + end("c1", "a") + begin("c1", "a", "1", "drain"), 0},
		{"the successor is lost", begin("c0", "a", "1", "lost") + end("c0", "a") + begin("c0", "a", "2", "lost"), 0},
	} {
		if got := readCounts(c.logs); len(got.twice) != c.twice {
			t.Errorf("%s: %v", c.name, got.twice)
		}
	}
}

// TestDrainOnLoopback drains twenty machines over real connections, with faults. The runner holds the workers' logs
// against the budgets; here each disturbance is logged, and none may have been counted twice by any controller.
func TestDrainOnLoopback(t *testing.T) {
	s := scenario.Read(t, "testdata/drain-twenty.txtar")
	var logs bytes.Buffer
	start := time.Now()
	events, err := s.PlayOn(t.Context(), newLoopback(t), &logs)
	if err != nil {
		t.Log(logs.String())
		t.Fatal(err)
	}
	counted := readCounts(logs.String())
	for _, attempt := range counted.twice {
		t.Errorf("the disturbance of %s is counted twice", attempt)
	}
	all, _ := invariant.AuditDisruptions(events, nil, 0)
	lasted := map[wire.TeamName]*hdrhistogram.Histogram{}
	for _, d := range all {
		if lasted[d.Team] == nil {
			lasted[d.Team] = hdrhistogram.New(1, time.Minute.Milliseconds(), 3)
		}
		t.Logf("%s %s %s: from %.2f s to %.2f s",
			d.Team, d.Task, counted.causes[d.Task], d.Begin.Sub(start).Seconds(), d.End.Sub(start).Seconds())
		if d.End.IsZero() {
			t.Errorf("the disturbance of %s has no end", d.Task)
			continue
		}
		if err := lasted[d.Team].RecordValue(d.End.Sub(d.Begin).Milliseconds()); err != nil {
			t.Error(err)
		}
	}
	for team, h := range lasted {
		t.Logf("%s: %d disturbances, lasted %s", team, h.TotalCount(), quantiles(h))
	}
	const drained = 20
	if len(counted.attempts) < len(all) || len(all) < drained {
		t.Errorf("the controllers counted %d disturbances, the workers' logs show %d", len(counted.attempts), len(all))
	}
}
