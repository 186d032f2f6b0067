package awoutcome

// HTTP statuses after which a caller may repeat any request, by RFC 9110, sections
// 15.5.9, 15.5.20 and 15.6.4, and RFC 6585, section 4.
const (
	statusRequestTimeout     = 408
	statusMisdirectedRequest = 421
	statusTooManyRequests    = 429
	statusServiceUnavailable = 503
)

// PromisesNotRun reports whether callers take a response with an HTTP status for the
// promise that the request has not run and never will. Such a status must reach a
// caller only where the outcome is [NotRun].
func PromisesNotRun(status int) bool {
	switch status {
	case statusRequestTimeout, statusMisdirectedRequest, statusTooManyRequests, statusServiceUnavailable:
		return true
	}
	return false
}

// IsFinalStatus reports whether an HTTP status can be that of a final response: 200 to
// 599, by RFC 9110, section 15. A response with another one is no answer, and its request
// may have run.
func IsFinalStatus(status int) bool { return status >= 200 && status <= 599 }
