package awweights

import "time"

const (
	// spoiltTolerance is how long before a load a staged chunk may have turned bad.
	// The rules of the platform excuse the load of such a chunk.
	spoiltTolerance = 3 * time.Second
	// OrderTimeout is how long an engine may take to accept a load order.
	OrderTimeout = time.Second
	// MaxComparisonAge is the longest time from the beginning of a comparison of
	// staged chunks until they are ordered to be loaded.
	MaxComparisonAge = spoiltTolerance - OrderTimeout
)
