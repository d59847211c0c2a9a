package settings

import (
	"reflect"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
)

// withoutNamesInOtherCase returns a settings file without the entries whose names differ from known ones only in case.
// They are unknown and must be ignored, but the decoder would take them for the known ones. A file without such
// entries, or that can't be parsed, is returned as it is, so that the decoder reports errors with their lines.
func withoutNamesInOtherCase(data []byte) ([]byte, error) {
	var file map[string]any
	if err := toml.Unmarshal(data, &file); err != nil || !removeNamesInOtherCase(file, reflect.TypeFor[Settings]()) {
		return data, nil //nolint:nilerr // the caller decodes the data again and reports the error
	}
	return toml.Marshal(file)
}

// removeNamesInOtherCase removes the entries of a table whose names differ from a field of the struct type only in
// case, also in nested tables, and reports whether there were any.
func removeNamesInOtherCase(table map[string]any, structType reflect.Type) (removed bool) {
	for name, value := range table {
		fields := reflect.VisibleFields(structType)
		exact := slices.IndexFunc(fields, func(f reflect.StructField) bool { return f.Tag.Get("toml") == name })
		if exact >= 0 {
			removed = removeNestedNamesInOtherCase(value, fields[exact].Type) || removed
			continue
		}
		inOtherCase := func(f reflect.StructField) bool { return strings.EqualFold(f.Tag.Get("toml"), name) }
		if slices.ContainsFunc(fields, inOtherCase) {
			delete(table, name)
			removed = true
		}
	}
	return removed
}

// removeNestedNamesInOtherCase does the same for a value that is a table or an array of tables.
func removeNestedNamesInOtherCase(value any, fieldType reflect.Type) (removed bool) {
	for fieldType.Kind() == reflect.Pointer || fieldType.Kind() == reflect.Slice {
		fieldType = fieldType.Elem()
	}
	if fieldType.Kind() != reflect.Struct {
		return false
	}
	switch value := value.(type) {
	case map[string]any:
		return removeNamesInOtherCase(value, fieldType)
	case []map[string]any:
		for _, table := range value {
			removed = removeNamesInOtherCase(table, fieldType) || removed
		}
	}
	return removed
}
