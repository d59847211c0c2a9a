package disruption

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Budget limits how many of a team's tasks may be disrupted at once: a number of tasks, or a share of the team's
// running tasks. The package comment says when a task is disrupted.
type Budget struct {
	count int
	share float64 // 0 to 1; if 0, as for "0%", the budget is count, which ParseBudget leaves at 0 for a share
	text  string  // the parsed text
}

// ErrInvalidBudget is returned for a text that isn't a valid budget.
var ErrInvalidBudget = errors.New(`a budget is a number of tasks such as "3" ` +
	`or a share of the running ones such as "10%"`)

// ParseBudget parses a budget: a number of tasks ("3") or a percentage of the running tasks ("10%"). Its errors
// wrap ErrInvalidBudget.
func ParseBudget(text string) (Budget, error) {
	if digits, isShare := strings.CutSuffix(text, "%"); isShare {
		percent, err := strconv.ParseFloat(digits, 64)
		if valid := percent >= 0 && percent <= 100; err != nil || !valid { // NaN is invalid, too
			return Budget{}, fmt.Errorf("%q: %w", text, ErrInvalidBudget)
		}
		return Budget{share: percent / 100, text: text}, nil
	}
	count, err := strconv.ParseUint(text, 10, 31)
	if err != nil {
		return Budget{}, fmt.Errorf("%q: %w", text, ErrInvalidBudget)
	}
	return Budget{count: int(count), text: text}, nil
}

// String returns the text from which the budget was parsed.
func (b Budget) String() string { return b.text }

// Allowed returns how many of a team's tasks may be disrupted at once. running counts the tasks that run or would run
// if they weren't disrupted. A share is rounded down.
func (b Budget) Allowed(running int) int {
	if b.share > 0 {
		const tolerance = 1e-9 // keeps 29% of 100 from becoming 28: 0.29*100 is slightly less than 29 in floating point
		return int(math.Floor(b.share*float64(running) + tolerance))
	}
	return b.count
}
