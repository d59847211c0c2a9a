package disruption

import (
	"errors"
	"testing"
)

func TestBudgetAllowed(t *testing.T) {
	for _, test := range []struct {
		name    string
		text    string
		running int
		allowed int
	}{
		{name: "a number of tasks", text: "3", running: 100, allowed: 3},
		{name: "no tasks", text: "0", running: 100, allowed: 0},
		{name: "an exact share", text: "10%", running: 100, allowed: 10},
		{name: "a share is rounded down", text: "10%", running: 99, allowed: 9},
		{name: "a share of less than one task is 0", text: "10%", running: 9, allowed: 0},
		{name: "a share of 0%", text: "0%", running: 50, allowed: 0},
		{name: "all tasks", text: "100%", running: 7, allowed: 7},
		{name: "a fractional percentage", text: "33.4%", running: 3, allowed: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			budget, err := ParseBudget(test.text)
			if err != nil {
				t.Fatal(err)
			}
			if got := budget.Allowed(test.running); got != test.allowed {
				t.Errorf("budget %s with %d running tasks allows %d, want %d", budget, test.running, got, test.allowed)
			}
			if budget.String() != test.text {
				t.Errorf("String() is %q, want %q", budget, test.text)
			}
		})
	}
}

func TestParseBudgetRejects(t *testing.T) {
	for _, text := range []string{"", "-1", "-1%", "101%", "many", "1.5", "%", "3 %", "NaN%", "99999999999"} {
		if _, err := ParseBudget(text); !errors.Is(err, ErrInvalidBudget) {
			t.Errorf("ParseBudget(%q): error %v, want ErrInvalidBudget", text, err)
		}
	}
}
