package awcommand_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutuswind/io/awcommand"
)

const checkHeader = "Model,Version,Replicas,Domains,TeamShares,Fencing\n"

func writeFile(t *testing.T, name, text string) {
	require.NoError(t, os.WriteFile(name, []byte(text), 0o600))
}

// Guards against changes to the exit codes or the JSON output of checks without
// an entry that break operators' scripts.
func TestCtlCheckWithoutEntry(t *testing.T) {
	t.Setenv("AWCTL_ENTRY", "")
	t.Chdir(t.TempDir())
	writeFile(t, "good.csv", checkHeader+"rota,v2,2,serra,,checked\n")
	writeFile(t, "bad.csv", checkHeader+"rota,v1,x,sera,,maybe\n")
	writeFile(t, "force.csv", checkHeader+"rota,v1,2,serra,,checked\n")
	writeFile(t, "status.json", `{"Revision":7,"State":{"Revision":7,"Models":{"rota":{"Name":"rota","Version":"v2","Digest":"d","Replicas":4,"Domains":["serra"],"Fencing":"checked"}},"Domains":{"serra":{"Out":true}}}}`)
	writeFile(t, "other.json", `{}`)
	earlier := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"Valid":false,"Faults":["2:9: from an earlier version"]}`))
	}))
	defer earlier.Close()
	for _, c := range []struct {
		args string
		code int
		json string // part of standard output
		err  string // part of standard error
	}{
		{"check good.csv", 0, `{"Valid":true,"Findings":[],"NotChecked":[`, ""},
		{"check bad.csv", 1, `{"Severity":"error","Line":2,"Column":9,"Field":"Replicas","Message":"\"x\" is not`, ""},
		{"check missing.csv", 2, "", "no such file"},
		{"check good.csv --against force.csv", 0, `"Differences":[{"Subject":"model rota","Field":"Version","Was":"v1","Becomes":"v2"}],"Compared":true`, ""},
		{"check good.csv --against bad.csv", 2, "", "not a valid sheet"},
		{"check good.csv --against missing.csv", 2, "", "no such file"},
		{"check good.csv --against other.json", 2, "", "awctl status -o json"},
		{"check good.csv --against 127.0.0.1:1", 2, "", "call entry"},
		{"check good.csv --against status.json", 1, `"Field":"Domains","Message":"every domain of the model is out of service`, ""},
		{"check good.csv --against status.json", 1, `"Revision":7,"Differences":[{"Subject":"model rota","Field":"Replicas","Was":"4","Becomes":"2"}]`, ""},
		{"check good.csv --against " + earlier.URL, 1, `"Message":"2:9: from an earlier version"`, ""},
		{"validate good.csv", 0, `"Valid":true`, ""},
		{"validate bad.csv", 1, `"Valid":false,"Faults":["2:9:`, ""},
		{"status", 2, "", "`--entry' was not specified"},
	} {
		var stdout, stderr bytes.Buffer
		require.Equal(t, c.code, awcommand.Ctl(append(strings.Fields(c.args), "-o", "json"), &stdout, &stderr), "%s: %s%s", c.args, &stdout, &stderr)
		require.Contains(t, stdout.String(), c.json, c.args)
		require.Contains(t, stderr.String(), c.err, c.args)
	}
}

// Guards against a check that does not apply the rules that need the fleet when
// it is given the address of an entry.
func TestCtlCheckAgainstEntry(t *testing.T) {
	operators, _ := startEntry(t)
	t.Chdir(t.TempDir())
	writeFile(t, "good.csv", checkHeader+"rota,v1,2,serra,,checked\n")
	writeFile(t, "bad.csv", checkHeader+"rota,v9,5,serra,,checked\n")
	run := func(code int, args ...string) string {
		var stdout, stderr bytes.Buffer
		require.Equal(t, code, awcommand.Ctl(args, &stdout, &stderr), "%s: %s%s", args, &stdout, &stderr)
		return stdout.String()
	}
	address := strings.TrimPrefix(operators, "http://")
	out := run(1, "check", "bad.csv", "--against", address, "-o", "json")
	require.Contains(t, out, `"Column":6,"Field":"Version","Message":"unknown version`)
	require.Contains(t, out, `"Column":9,"Field":"Replicas","Message":"5 replicas`)
	out = run(0, "check", "good.csv", "--against", operators, "-o", "json")
	require.Contains(t, out, `{"Subject":"model rota","Field":"Replicas","Was":"","Becomes":"2"}`)
	require.NotContains(t, out, "NotChecked")
	run(0, "--entry", operators, "instance", "drain", "engine-1")
	require.Contains(t, run(1, "check", "good.csv", "--against", address), "1 of the 2 instances in these domains are in service")
	run(0, "--entry", operators, "apply", "good.csv")
	writeFile(t, "smaller.csv", checkHeader+"rota,v1,1,serra,,checked\n")
	out = run(1, "check", "smaller.csv", "--against", address, "-o", "json")
	require.Contains(t, out, `"Valid":true,"Findings":[{"Severity":"warning","Line":0,"Column":0,"Message":"the sheet removes 50%`)
	run(0, "--entry", operators, "domain", "out", "serra")
	require.Contains(t, run(1, "check", "good.csv", "--against", address), "every domain of the model is out of service")
}

func ExampleCtl_check() {
	awcommand.Ctl([]string{"check", "testdata/sheet.csv", "--against", "testdata/inforce.csv"}, os.Stdout, os.Stderr)
	// Output:
	// SEVERITY  LINE  COLUMN  FIELD       MESSAGE
	// warning   2     17      TeamShares  team shares have no effect on a model without replicas
	//
	// SUBJECT     FIELD     IN FORCE  SHEET
	// model rota  Version   v1        v2
	// model rota  Replicas  3         0
	//
	// not checked without an entry: names of domains, capacity, fencing settings, published versions
}
