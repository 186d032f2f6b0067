// Package awstream holds the rules of one streamed answer: numbered frames in
// order without duplicates and gaps, one identity of weights, a resume point,
// and a window of bytes that the receiver is willing to hold.
package awstream
