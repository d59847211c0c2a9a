// Package optionspb holds the operators' options; options.pb.go is generated from options.proto.
package optionspb
