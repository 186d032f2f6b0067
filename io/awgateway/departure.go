package awgateway

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"arbutuswind/io/awhttp"
)

// departure records how a request ends after its caller has left.
type departure struct {
	noticed     atomic.Pointer[time.Time]
	closeAge    atomic.Int64 // time from the close to when it was noticed; -1 if not known
	lastSendEnd time.Time    // of the goroutine of the request
}

// watch records when ctx ends because the caller has left, until the returned
// function is called.
func (d *departure) watch(ctx context.Context, now func() time.Time) func() bool {
	return context.AfterFunc(ctx, func() {
		if cause := context.Cause(ctx); errors.Is(cause, ErrStopping) || errors.Is(cause, errTimeout) {
			return
		}
		d.closeAge.Store(-1)
		if age, ok := awhttp.CloseAge(ctx); ok {
			d.closeAge.Store(int64(age))
		}
		t := now()
		d.noticed.Store(&t)
	})
}

// recordDeparture counts how late the caller's departure was noticed, and for how
// long work went on.
func (q *request) recordDeparture() {
	noticed := q.departure.noticed.Load()
	if noticed == nil {
		return
	}
	if age := q.departure.closeAge.Load(); age >= 0 {
		q.g.metrics.closeNoticed.Update(time.Duration(age).Seconds())
	}
	if end := q.departure.lastSendEnd; end.After(*noticed) {
		q.g.metrics.workAfterLeaving.Update(end.Sub(*noticed).Seconds())
	}
}

// logFields returns log fields with the times since start.
func (d *departure) logFields(start time.Time) []any {
	noticed := d.noticed.Load()
	if noticed == nil {
		return nil
	}
	fields := []any{"LeftMs", noticed.Sub(start).Milliseconds()}
	if age := d.closeAge.Load(); age >= 0 {
		fields = append(fields, "CloseAgeMs", time.Duration(age).Milliseconds())
	}
	if d.lastSendEnd.After(*noticed) {
		fields = append(fields, "WorkAfterMs", d.lastSendEnd.Sub(*noticed).Milliseconds())
	}
	return fields
}
