package invariant

import "strings"

// Rule is the name of a rule. Those of the protocol have the protocol's names.
type Rule string

// The rules that are checked.
const (
	// RanTwice: a task starts on one machine while it is on another.
	RanTwice Rule = "ran_twice"
	// Quota: a team's tasks use more processors than its limit.
	Quota Rule = "quota"
	// WrongPlace: a task starts on a type, in a zone or on a kind of machine that its job doesn't allow.
	WrongPlace Rule = "wrong_place"
	// RanCancelled: a task is on a machine, or starts, too long after its user has seen that the job is cancelled.
	RanCancelled Rule = "ran_cancelled"
	// Forgotten: an accepted job is answered as unknown or as refused.
	Forgotten Rule = "forgotten"
	// Invented: a job that nobody submitted is answered as known.
	Invented Rule = "invented"
	// NotDone: a job is called done before all of its tasks are.
	NotDone Rule = "not_done"
	// WentBack: a job in a final state is called something else, or a job is called cancelled though nobody asked for it.
	WentBack Rule = "went_back"
	// HalfGang: a gang begins to run without all of its tasks on machines, or a task begins twice in one attempt.
	HalfGang Rule = "half_gang"
	// LeftWaiting: a job has waited too long beside a machine with room for it, under its team's limit.
	LeftWaiting Rule = "left_waiting"
	// DisruptionBudget: a task is stopped by command while its team's disruption budget is used up.
	DisruptionBudget Rule = "disruption_budget"
)

// Violation is one case of a rule that was broken.
type Violation struct {
	Rule   Rule
	Detail string
}

// String returns the rule and what broke it, on one line.
func (v Violation) String() string { return string(v.Rule) + ": " + v.Detail }

// ViolationError is the error of a run in which rules were broken.
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
