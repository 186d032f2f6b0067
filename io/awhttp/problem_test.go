package awhttp

import (
	"errors"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awoutcome"
)

// Guards NotRunIsTrue: callers, libraries and proxies that go by the status repeat a
// request after a refusal whose outcome is not "not run".
func TestStatusPromisesOnlyWhatIsTrue(t *testing.T) {
	reasons := []awoutcome.Reason{
		awoutcome.QueueFull, awoutcome.ColdLimit, awoutcome.MemoryFull, awoutcome.Deadline, awoutcome.Leaving, awoutcome.DomainOut,
		awoutcome.WrongVersion, awoutcome.NotReady, awoutcome.DuplicateID, awoutcome.BadRequest, awoutcome.EngineFailed,
		awoutcome.EngineCrashed, awoutcome.Quarantined, awoutcome.Cancelled, awoutcome.IdentityChanged, awoutcome.Isolated,
		awoutcome.StaleConfig, awoutcome.AttemptRefused, awoutcome.RateLimited, awoutcome.Overloaded, awoutcome.NoBackend,
		awoutcome.StoreDown, awoutcome.KeyReused, awoutcome.InProgress, awoutcome.Truncated, awoutcome.LinkLost,
		awoutcome.BodyTooLarge, awoutcome.BodyTimeout, awoutcome.ResultNotKept, "a later one",
	}
	for _, reason := range reasons {
		for _, outcome := range []awoutcome.Outcome{awoutcome.Unknown, awoutcome.Ran} {
			p := NewProblem(&awoutcome.Error{Outcome: outcome, Reason: reason})
			require.False(t, awoutcome.PromisesNotRun(p.Status), "%s (%s): %d", reason, outcome, p.Status)
		}
		p := NewProblem(awoutcome.Refuse(reason, ""))
		require.Equal(t, Status(reason), p.Status, reason)
	}
	require.Equal(t, http.StatusBadGateway, NewProblem(errors.New("no outcome")).Status)
}
