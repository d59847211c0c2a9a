package settings

import (
	"fmt"
	"strings"
)

// InvalidValueError reports a setting or an option with an invalid value.
type InvalidValueError struct {
	// Setting is the name of the setting or option, with those of its enclosing tables or messages as prefix, for example
	// "deployment.state.rps".
	Setting string
	// Value is the value in the file, or nil if the file contains none.
	Value any
	// Requirement describes valid values. It continues a sentence that begins with the setting, for example "must be
	// above 0".
	Requirement string
	// Reason explains the requirement; it may be empty.
	Reason string
	// Err is the error of parsing the value; it may be nil.
	Err error
}

// Error returns a single line with the setting, the requirement and the value.
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

// Unwrap returns the error of parsing the value.
func (e *InvalidValueError) Unwrap() error { return e.Err }
