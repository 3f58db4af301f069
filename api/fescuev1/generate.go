// Package fescuev1 contains the gRPC protocols between entries and endpoint processes
// (fescue.proto) and between entries and the sidecars of model servers
// (residency.proto). The generated files are committed; run go generate after changing
// a .proto file.
package fescuev1

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative fescue.proto residency.proto
