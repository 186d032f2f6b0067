package awsheet_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awsheet"
)

// Guards against a warning without its field, against warnings about a sheet that
// can be fulfilled, and against refusing a sheet because of a warning.
func TestCheckWarnings(t *testing.T) {
	inv := inventory()
	inv.Out, inv.Drained = map[string]bool{"litoral": true}, map[string]int{"serra": 2}
	for name, c := range map[string]struct {
		row  string
		want []awsheet.Fault
	}{
		"in service":            {"rota,v1,2,serra,a=1,checked", nil},
		"one domain in service": {"rota,v1,2,serra litoral,,checked", nil},
		"drained":               {"rota,v1,3,serra,,checked", []awsheet.Fault{{Line: 2, Column: 9, Field: "Replicas", Message: "3 replicas are requested, but 2 of the 4 instances in these domains are in service"}}},
		"all domains out":       {"rota,v1,1,litoral,,checked", []awsheet.Fault{{Line: 2, Column: 11, Field: "Domains", Message: "every domain of the model is out of service; no replica can serve"}}},
		"no replicas":           {"rota,v1,0,litoral,a=1,checked", []awsheet.Fault{{Line: 2, Column: 19, Field: "TeamShares", Message: "team shares have no effect on a model without replicas"}}},
	} {
		t.Run(name, func(t *testing.T) {
			result := awsheet.Check([]byte(heading+c.row+"\n"), inv)
			require.Empty(t, result.Faults)
			require.Len(t, result.Rows, 1)
			require.Equal(t, c.want, result.Warnings)
		})
	}
}

// Guards against refusing a sheet for what only the fleet can tell, against
// leaving out a rule that needs no fleet, and against faults without their field.
func TestCheckWithoutFleet(t *testing.T) {
	faults := awsheet.Check([]byte(heading+"rota,v1,50,atlantis,,checked\nx,v1,1,,b,maybe\n"), awsheet.Inventory{Unknown: true}).Faults
	require.Len(t, faults, 3)
	for i, field := range []string{"Domains", "TeamShares", "Fencing"} {
		require.Equal(t, 3, faults[i].Line)
		require.Equal(t, field, faults[i].Field)
	}
}
