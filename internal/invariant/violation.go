package invariant

import "strings"

// Rule is the name of a rule, which the text of a violation begins with. The rules of the protocol have the names that
// the protocol gives them. The constants are named after the violations, in the terms of history checkers.
type Rule string

// The rules that are checked. The comments say what violates each rule.
const (
	// DuplicateExecution: a task starts on one machine while it is on another.
	DuplicateExecution Rule = "ran_twice"
	// QuotaExceeded: a team's tasks use more processors than its limit.
	QuotaExceeded Rule = "quota"
	// PlacementViolation: a task starts on a machine whose type, zone or spot status its job does not allow.
	PlacementViolation Rule = "wrong_place"
	// ExecutionAfterCancel: a task starts or is on a machine later than the cancellation deadline after a user saw that
	// its job is cancelled.
	ExecutionAfterCancel Rule = "ran_cancelled"
	// LostWrite: a job whose submission was acknowledged is reported as unknown, or its repeated submission is refused.
	LostWrite Rule = "forgotten"
	// UnexpectedRead: a job that nobody submitted is reported as known.
	UnexpectedRead Rule = "invented"
	// PrematureCompletion: a job is reported as done before all of its tasks have completed.
	PrematureCompletion Rule = "not_done"
	// NonMonotonicRead: a job that was reported in a final state is later reported in another one, or a job is reported
	// as cancelled although no user asked to cancel it.
	NonMonotonicRead Rule = "went_back"
	// PartialGang: a gang starts to run while not all of its tasks are on machines, or a task of it starts to run twice
	// in one attempt.
	PartialGang Rule = "half_gang"
	// Starvation: a job has had no task on a machine for too long, although a machine has the capacity for one and its
	// team is under its limit.
	Starvation Rule = "left_waiting"
	// DisruptionBudgetExceeded: a task is stopped by a command while its team's disruption budget is used up.
	DisruptionBudgetExceeded Rule = "disruption_budget"
)

// Violation is one violation of a rule.
type Violation struct {
	Rule   Rule
	Detail string
}

// String returns the rule and the detail of the violation, on one line.
func (v Violation) String() string { return string(v.Rule) + ": " + v.Detail }

// ViolationError is the error of a scenario run in which rules were violated.
type ViolationError struct {
	Violations []Violation
}

// Error returns all violations, on one line.
func (e *ViolationError) Error() string {
	details := make([]string, 0, len(e.Violations))
	for _, violation := range e.Violations {
		details = append(details, violation.String())
	}
	return strings.Join(details, "; ")
}

// Err returns a *ViolationError, or nil if there are no violations.
func Err(violations []Violation) error {
	if len(violations) == 0 {
		return nil
	}
	return &ViolationError{Violations: violations}
}
