package wire

import (
	"errors"

	"github.com/segmentio/encoding/json"
)

// errTrailingData means that something follows a message.
var errTrailingData = errors.New("unexpected data after the message")

// Unmarshal decodes a message of the protocol, which arrives as JSON, into a value of one of this package's types. All
// messages of users, workers, the cloud and the key-value store are decoded with it. The decoded message keeps no
// reference to data.
//
// A field is known only by its exact name: receivers must ignore fields that they do not know (protocol, first page),
// and names in JSON differ if their case does. encoding/json would take a field "Pieces" for "pieces". In all other
// respects, results and rejected inputs are those of encoding/json. If a value does not have the type of its field, the
// error is a *json.UnmarshalTypeError of encoding/json.
func Unmarshal(data []byte, message any) error {
	rest, err := json.Parse(data, message, json.DontMatchCaseInsensitiveStructFields)
	if err == nil && len(rest) != 0 {
		return errTrailingData
	}
	return err
}
