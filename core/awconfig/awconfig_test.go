package awconfig_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awconfig"
)

func change(revision uint64, kind awconfig.Kind, target string) awconfig.Change {
	return awconfig.Change{Revision: revision, Kind: kind, Target: target}
}

// Guards against a process that returns to an older configuration, for example
// when it gets a snapshot that is behind its own state.
func TestHolderNeverReverts(t *testing.T) {
	h := awconfig.NewHolder()
	one, err := awconfig.NewState().Apply(change(1, awconfig.KindDomainOut, "serra"))
	require.NoError(t, err)
	two, err := one.Apply(change(2, awconfig.KindDomainIn, "serra"))
	require.NoError(t, err)
	require.NoError(t, h.Replace(two))
	require.NoError(t, h.Replace(two), "the same state again is no error")

	var revert *awconfig.RevertError
	require.ErrorAs(t, h.Replace(one), &revert)
	other, err := one.Apply(change(2, awconfig.KindDomainIn, "litoral"))
	require.NoError(t, err)
	require.ErrorAs(t, h.Replace(other), &revert, "two states of one revision")
	require.NoError(t, h.ApplyAll([]awconfig.Change{change(1, awconfig.KindDomainOut, "serra")}), "changes already applied are skipped")
	require.Equal(t, uint64(2), h.State().Revision)
	require.False(t, h.State().Domains["serra"].Out)
}

// Guards against applying a change after a missing revision, which would give a
// state that no other process has.
func TestApplyRefusesGap(t *testing.T) {
	_, err := awconfig.NewState().Apply(change(2, awconfig.KindDomainOut, "serra"))
	var gap *awconfig.RevisionError
	require.ErrorAs(t, err, &gap)
}
