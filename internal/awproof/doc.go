// Package awproof checks the invariants listed in the design page with
// property-based tests of the core packages.
//
// A state machine connects the configuration log and holder, claims, attempts,
// admission, routing, streams and manifest verification through an in-memory
// network and a fake clock. rapid draws random sequences of actions, and an
// oracle checks the named invariants as events occur. A mutation test disables
// the protection behind each invariant in turn and requires that the oracle
// reports its violation. The package holds tests only.
package awproof
