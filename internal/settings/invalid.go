package settings

import (
	"fmt"
	"strings"
)

// InvalidValueError reports a setting or an option whose value is not allowed.
type InvalidValueError struct {
	// Setting is the name in the file, after those of the tables or messages that it is in: "deployment.state.rps".
	Setting string
	// Value is what the file says; nil if it says nothing.
	Value any
	// Requirement is what a value must be, as the rest of a sentence that begins with the setting: "must be above 0".
	Requirement string
	// Reason is why that is required; it may be empty.
	Reason string
	// Err is the error that the value led to; it may be nil.
	Err error
}

// Error returns one line with the setting, its value and what is allowed.
func (e *InvalidValueError) Error() string {
	var text strings.Builder
	text.WriteString(e.Setting + " " + e.Requirement)
	switch value := e.Value.(type) {
	case nil:
	case string:
		fmt.Fprintf(&text, " (value: %q)", value)
	default:
		fmt.Fprintf(&text, " (value: %v)", value)
	}
	if e.Reason != "" {
		text.WriteString(": " + e.Reason)
	}
	if e.Err != nil {
		text.WriteString(": " + e.Err.Error())
	}
	return text.String()
}

// Unwrap returns the error that the value led to.
func (e *InvalidValueError) Unwrap() error { return e.Err }
