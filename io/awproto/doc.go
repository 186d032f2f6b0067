// Package awproto defines the internal protocol between entries and agents.
//
// The messages are defined in inner.proto; inner.pb.go and inner_drpc.pb.go are
// generated from it by make generate and committed. Compatible changes only add
// fields; an incompatible change must increment awrpc.ProtocolVersion.
package awproto

// ServicePrefix is the prefix of the routing name of a plain service, followed by
// the name of the service. It cannot clash with a model, since model names
// contain no slash.
const ServicePrefix = "service/"
