// Package optionspb contains the message types of the operators' options. The file options.pb.go is generated from
// options.proto.
package optionspb
