// Package operatorpbconnect contains the clients and the server handlers of the operators' RPC services. The file
// operator.connect.go is generated from operator.proto.
package operatorpbconnect
