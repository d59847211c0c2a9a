// Package operatorpb contains the messages of the operators' RPC services. The file operator.pb.go is generated from
// operator.proto.
package operatorpb
