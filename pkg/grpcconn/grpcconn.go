// Package grpcconn has the settings of the connections between the project's own
// processes.
package grpcconn

import "google.golang.org/grpc"

// windowBytes is the flow-control window of a stream and of a connection. Messages are
// small. With a fixed window, gRPC does not measure the bandwidth of the connection, for
// which it would send a ping for about each message and get a reply.
const windowBytes = 256 << 10

// DialOptions returns the options of a client connection.
func DialOptions() []grpc.DialOption {
	return []grpc.DialOption{grpc.WithStaticStreamWindowSize(windowBytes), grpc.WithStaticConnWindowSize(windowBytes)}
}

// ServerOptions returns the options of a server.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{grpc.StaticStreamWindowSize(windowBytes), grpc.StaticConnWindowSize(windowBytes)}
}
