package awbalance

const (
	// promptTokensPerOutput is how many prompt tokens take an engine as long as one
	// output token, by the published cost model: 31.9 prompt tokens a millisecond,
	// and 7.4 ms for one token of each of about eight requests.
	promptTokensPerOutput = 30
	// defaultOutput is the expected output of a request without any hint, in tokens.
	defaultOutput = 100
	// tailShare is the least remaining output of a response, as a share of its output
	// so far. Lengths have a heavy tail: what has passed its hint goes on for long.
	tailShare = 0.5
	// workSmoothing is the divisor of the moving average of the work of requests.
	workSmoothing = 64
	// perEventStep is the factor by which the output tokens per event are corrected
	// at the end of each response.
	perEventStep = 1.05
)

// Expected is what is known of the work of a request before it is sent, in tokens. A
// number that is not known is 0.
type Expected struct {
	Prompt    int
	Output    int // estimate, often far off
	MaxOutput int
}

// output returns the expected output.
func (x *Expected) output() float64 {
	n := x.Output
	if n <= 0 {
		n = defaultOutput
	}
	if x.MaxOutput > 0 {
		n = min(n, x.MaxOutput)
	}
	return float64(n)
}

// Estimator estimates the remaining work of the requests of one service, in output
// tokens. The zero value is ready to use. It is not safe for concurrent use.
type Estimator struct {
	perEvent float64 // output tokens per event; 0 before the first response
	mean     float64 // work of a request when it is sent; 0 before the first
}

// Remaining returns the expected remaining work of a request of which the given number
// of events has arrived. The prompt has been read when the first one arrives.
func (e *Estimator) Remaining(x *Expected, events int) float64 {
	if events == 0 {
		return float64(x.Prompt)/promptTokensPerOutput + x.output()
	}
	done := float64(events) * e.tokensPerEvent()
	left := max(x.output()-done, tailShare*done)
	if x.MaxOutput > 0 {
		left = min(left, max(0, float64(x.MaxOutput)-done))
	}
	return left
}

func (e *Estimator) tokensPerEvent() float64 {
	if e.perEvent == 0 {
		return 1
	}
	return e.perEvent
}

// Sent records that a request is sent.
func (e *Estimator) Sent(x *Expected) {
	work := e.Remaining(x, 0)
	if e.mean == 0 {
		e.mean = work
	}
	e.mean += (work - e.mean) / workSmoothing
}

// Relative returns an amount of work as a multiple of that of the mean request.
func (e *Estimator) Relative(work float64) float64 {
	if e.mean == 0 {
		return 0
	}
	return work / e.mean
}

// Ended records the number of events of a whole response. The estimates of lengths are
// right at the median, so the tokens per event are the median of the estimate divided
// by the events.
func (e *Estimator) Ended(x *Expected, events int) {
	if x.Output <= 0 || events == 0 {
		return
	}
	got := float64(x.Output) / float64(events)
	switch {
	case e.perEvent == 0:
		e.perEvent = got
	case got > e.perEvent:
		e.perEvent *= perEventStep
	default:
		e.perEvent /= perEventStep
	}
	e.perEvent = max(1, e.perEvent)
}
