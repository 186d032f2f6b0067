// Package awproof checks the invariants of the design page by stateful
// fuzzing of the decision packages.
//
// A machine wires configuration log and holder, claims, attempts, admission,
// routing, streams and the manifest check with an in-memory message layer and
// an injected clock; an oracle checks every invariant by name after each
// step. For each invariant a mutation of the test wiring shows that the
// oracle detects its violation. The package holds tests only.
package awproof
