package disruption

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Budget bounds how many of a team's tasks may be disrupted at once: a number of tasks, or a share of its running
// tasks.
type Budget struct {
	count int
	share float64 // 0 to 1; 0: the budget is count
	text  string
}

// ErrInvalidBudget is returned for a text that is no budget.
var ErrInvalidBudget = errors.New(`a budget is a number of tasks such as "3" ` +
	`or a share of the running ones such as "10%"`)

// ParseBudget parses a budget: a number of tasks ("3") or a percentage of the running tasks ("10%"). Its error wraps
// ErrInvalidBudget.
func ParseBudget(text string) (Budget, error) {
	if digits, isShare := strings.CutSuffix(text, "%"); isShare {
		percent, err := strconv.ParseFloat(digits, 64)
		if valid := percent >= 0 && percent <= 100; err != nil || !valid { // NaN isn't valid either
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

// Allowed returns how many tasks may be disrupted at once when the given number run or would run if they weren't
// disrupted. A share is rounded down.
func (b Budget) Allowed(running int) int {
	if b.share > 0 {
		const rounding = 1e-9 // so that 10% of 100 isn't 9 after floating-point rounding
		return int(math.Floor(b.share*float64(running) + rounding))
	}
	return b.count
}
