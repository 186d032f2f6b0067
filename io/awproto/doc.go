// Package awproto is the internal protocol between entries and agents.
//
// The messages stand in inner.proto; inner.pb.go and inner_drpc.pb.go are
// generated from it by make generate and committed. Fields are only ever
// added; an incompatible change raises awrpc.ProtocolVersion.
package awproto

// ServicePrefix marks the routing name of a plain service; what follows is
// the name of the service. Model names hold no slash.
const ServicePrefix = "service/"
