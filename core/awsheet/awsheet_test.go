package awsheet_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awsheet"
)

const heading = "Model,Version,Replicas,Domains,TeamShares,Fencing\n"

func inventory() awsheet.Inventory {
	return awsheet.Inventory{
		Domains:   []string{"litoral", "planalto", "serra"},
		Instances: map[string]int{"litoral": 3, "planalto": 3, "serra": 4},
		Unfenced:  map[string]int{"planalto": 1},
	}
}

// Guards against a fault that is missed, hides a later one, or is reported with
// the wrong line or column.
func TestParseFaults(t *testing.T) {
	for name, c := range map[string]struct {
		sheet string
		want  []string // prefix of each fault
	}{
		"empty":                   {"", []string{"1:1: the sheet is empty"}},
		"headings":                {"Model;Version\n", []string{"1:1: headings must be"}},
		"utf-16 with mark":        {"\xff\xfeM\x00o\x00d\x00e\x00", []string{"1:1: the sheet is encoded as UTF-16"}},
		"utf-16 without mark":     {"M\x00o\x00d\x00e\x00l\x00", []string{"1:1: the sheet looks like UTF-16"}},
		"latin-1 in one line":     {heading + "rota,v1,1,serra,,checked\ncaf\xe9,v1,1,serra,,checked\n", []string{"3:4: byte 0xe9 is not UTF-8"}},
		"nul":                     {heading + "ro\x00ta,v1,1,serra,,ignored\n", []string{"2:1: model", "2:3: NUL"}},
		"too large":               {heading + strings.Repeat(" ", awsheet.MaxBytes), []string{"1:1: the sheet is larger"}},
		"field missing":           {heading + "rota,v1,1,serra,checked\n", []string{"2:17: 5 fields"}},
		"field too many":          {heading + "rota,v1,1,serra,,checked,x\n", []string{"2:26: 7 fields"}},
		"duplicate row":           {heading + "rota,v1,1,serra,,checked\nrota,v2,1,serra,,checked\n", []string{"3:1: model \"rota\" is already in line 2"}},
		"empty names":             {heading + ",,1,serra,,checked\n", []string{"2:1: model is empty", "2:2: version is empty"}},
		"negative":                {heading + "rota,v1,-1,serra,,checked\n", []string{"2:9: -1 is not allowed"}},
		"overflow":                {heading + "rota,v1,99999999999999999999,serra,,checked\n", []string{"2:9: 99999999999999999999 is too large"}},
		"not a number":            {heading + "rota,v1,two,serra,,checked\n", []string{"2:9: \"two\" is not"}},
		"domains":                 {heading + "rota,v1,1,serra sera serra,,checked\n", []string{"2:17: unknown domain \"sera\"; want one or more of litoral, planalto, serra", "2:22: domain \"serra\" is listed twice"}},
		"no domain":               {heading + "rota,v1,1,,,checked\n", []string{"2:11: no domain"}},
		"teams":                   {heading + "rota,v1,1,serra,a=1 b a=2 c=0 d=99999999999999999999,checked\n", []string{"2:21: \"b\"", "2:23: team \"a\" is listed twice", "2:29: 0 is not allowed", "2:33: 99999999999999999999 is too large"}},
		"quoted field":            {heading + "\"rota\",v1,1,\"serra sera\",,checked\n", []string{"2:20: unknown domain \"sera\""}},
		"quoted newline":          {heading + "rota,v1,1,\"serra\r\nsera\",,checked\r\nx,v1,-1,serra,,checked\r\n", []string{"3:1: unknown domain \"sera\"", "4:6: -1"}},
		"open quote":              {heading + "rota,v1,1,\"serra,,checked\n", []string{"2:11: quote is not closed", "2:11: 4 fields"}},
		"stray quote":             {heading + "ro\"ta,v1,1,serra,,checked\n", []string{"2:3: stray quote"}},
		"text after quote":        {heading + "\"rota\"x,v1,1,serra,,checked\n", []string{"2:7: text after the closing quote"}},
		"accents count as one":    {heading + "picotê,v1,1,sêrra x,,checked\n", []string{"2:13: unknown domain \"sêrra\"", "2:19: unknown domain \"x\""}},
		"fencing":                 {heading + "rota,v1,1,serra,,maybe\n", []string{"2:18: \"maybe\" is not allowed"}},
		"fencing of settings":     {heading + "rota,v1,1,serra planalto,,checked\n", []string{"2:27: the settings of 1 instances in planalto"}},
		"more than one domain":    {heading + "rota,v1,5,serra,,checked\n", []string{"2:9: 5 replicas"}},
		"rows share a domain":     {heading + "rota,v1,3,serra,,checked\npan,v1,2,serra,,checked\n", []string{"3:8: 5 replicas"}},
		"rows exceed a union":     {heading + "a,v,4,serra,,checked\nb,v,4,serra litoral,,checked\nc,v,3,planalto,,ignored\n", []string{"3:5: 8 replicas"}},
		"every fault in one pass": {"\xef\xbb\xbfModel;Version;Replicas;Domains;TeamShares;Fencing\r\nrota;;x;sera;a;no\r\n;v1;1;serra;;checked\r\n", []string{"2:6:", "2:7:", "2:9:", "2:14:", "2:16:", "3:1:"}},
	} {
		t.Run(name, func(t *testing.T) {
			rows, faults := awsheet.Parse([]byte(c.sheet), inventory())
			require.Nil(t, rows)
			require.Len(t, faults, len(c.want), "%v", faults)
			for i, want := range c.want {
				require.True(t, strings.HasPrefix(faults[i].String(), want), "%d: %s; want %s", i, faults[i], want)
			}
		})
	}
}

// Guards against rejecting a sheet in a form that spreadsheets export.
func TestParseAccepts(t *testing.T) {
	want, faults := awsheet.Parse([]byte(heading+"rota,v1,4,serra litoral,a=2 b=1,checked\n"), inventory())
	require.Empty(t, faults)
	for name, sheet := range map[string]string{
		"mark, semicolon, CRLF": "\xef\xbb\xbfModel;Version;Replicas;Domains;TeamShares;Fencing\r\nrota;v1;4;serra litoral;a=2 b=1;checked\r\n",
		"quoted":                "\"Model\",\"Version\",Replicas,Domains,TeamShares,Fencing\n\"rota\",\"v1\",\"4\",\"serra litoral\",\"a=2 b=1\",\"checked\"",
		"blank lines":           heading + "\r\nrota,v1, 4 ,serra  litoral,a=2 b=1,checked\n\n",
	} {
		rows, faults := awsheet.Parse([]byte(sheet), inventory())
		require.Empty(t, faults, name)
		require.Len(t, rows, 1, name)
		rows[0].Line, rows[0].VersionColumn = want[0].Line, want[0].VersionColumn
		require.Equal(t, want, rows, name)
	}
}

// Guards against a report of unlimited size.
func TestParseBoundsFaults(t *testing.T) {
	_, faults := awsheet.Parse([]byte(heading+strings.Repeat("x\n", 1000)), inventory())
	require.Len(t, faults, awsheet.MaxFaults+1)
	require.Contains(t, faults[awsheet.MaxFaults].Message, "800 more")
}

// Guards against a panic, and against accepting a sheet with values that are out
// of range.
func FuzzParse(f *testing.F) {
	f.Add([]byte(heading + "rota,v1,1,\"serra\",a=1,checked\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		rows, faults := awsheet.Parse(data, inventory())
		require.False(t, rows != nil && faults != nil)
		for _, r := range rows {
			require.NotEmpty(t, r.Model)
			require.LessOrEqual(t, r.Replicas, 10) // instances in the inventory
		}
	})
}

func ExampleParse() {
	sheet := "Model;Version;Replicas;Domains;TeamShares;Fencing\nrota;v2;40;serra;kitchen=2 kitchen=1;yes\n"
	_, faults := awsheet.Parse([]byte(sheet), awsheet.Inventory{Domains: []string{"serra"}, Instances: map[string]int{"serra": 4}})
	for _, f := range faults {
		fmt.Println(f)
	}
	// Output:
	// 2:9: 40 replicas are requested up to this row in serra, where there are 4 instances; want fewer replicas or more domains
	// 2:28: team "kitchen" is listed twice; want each team once
	// 2:38: "yes" is not allowed; want checked or ignored
}
