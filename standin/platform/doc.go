// Package platform is a small fake of the platform that the system runs on: its
// metadata store, its model servers and its plain HTTP servers, with injected faults.
// It defines the wire formats again instead of using the codecs of the product, so
// that tests detect a mistake in those codecs.
package platform
