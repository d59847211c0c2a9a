package gang

import (
	"strings"
	"testing"
)

// Each line tells a gang of three what happens, and after "=" the phase and, if there is
// something to do, what.
var lives = []string{
	"placed placed placed = granted; recorded recorded = granted; recorded = launched launch",
	"whole; runs = running; done = complete finish; done = complete; gone gone gone = complete",
	// A task gone before the start, or while all run: the rest is ended, and a new attempt
	// waits for the last of them.
	"whole; gone = ending end; gone = ending; gone = apart",
	"whole; runs; gone = ending end; saves = ending; gone gone = apart; placed = granted",
	"placed placed placed recorded; gone = ending end; recorded = ending; gone gone = apart",
	// An orderly stop: safe once one has saved; not if one is gone before.
	"whole; runs; stop = stopping save; stop = stopping; gone! = stopping; gone = stopping; gone = apart",
	"whole; runs; stop = stopping save; gone = ending end; gone gone = apart",
	"whole; stop = ending end",
	"stop = apart",
	// A new leader finds all, a part, or one that saves already.
	"found found found; rebuilt = launched; runs = running",
	"found found; rebuilt = ending end; gone gone = apart",
	"rebuilt = apart",
	"found found found; rebuilt; runs; saves = stopping save; saves = stopping; gone! gone gone = apart",
	"found found found; rebuilt; saves = stopping save",
	"found found found; rebuilt; gone = ending end; done = complete finish",
	// Cancelled.
	"whole; runs; end = ending end; end = ending; gone gone gone = apart",
	"whole; runs; stop; end = ending end",
}

func TestLives(t *testing.T) {
	for _, life := range lives {
		g := New(3)
		for _, part := range strings.Split(life, ";") {
			words, want, checked := strings.Cut(part, "=")
			next := None
			for _, w := range strings.Fields(words) {
				next = tell(t, g, w)
			}
			got := strings.TrimSpace(g.Phase().String() + " " + [...]string{"", "launch", "end", "save", "finish"}[next])
			if checked && got != strings.TrimSpace(want) {
				t.Errorf("%q: after %q: %s, want %s", life, strings.TrimSpace(words), got, strings.TrimSpace(want))
			}
		}
		if may := g.MayLaunch(); may != (g.Phase() == Launched) {
			t.Errorf("%q: may launch: %v", life, may)
		}
	}
}

func tell(t *testing.T, g *Gang, word string) Action {
	switch word {
	case "placed":
		g.TaskPlaced()
	case "recorded":
		return g.PlacementDurable()
	case "whole":
		for range 3 {
			g.TaskPlaced()
			g.PlacementDurable()
		}
	case "found":
		g.TaskRecovered()
	case "rebuilt":
		return g.RecoveryDone()
	case "runs":
		g.TaskRunning()
	case "saves":
		return g.TaskCheckpointing()
	case "stop":
		return g.Preempt()
	case "end":
		return g.Abort()
	case "done":
		return g.TaskDone()
	case "gone", "gone!":
		return g.TaskGone(word == "gone!")
	default:
		t.Fatalf("unknown word %q", word)
	}
	return None
}
