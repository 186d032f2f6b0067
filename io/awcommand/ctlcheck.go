package awcommand

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"

	"arbutuswind/core/awconfig"
	"arbutuswind/core/awsheet"
	"arbutuswind/io/awcontrol"
)

// unreadableError makes awctl exit with [ExitUsage], because a check could not
// read one of its inputs.
type unreadableError struct{ err error }

// Error implements the error interface.
func (e *unreadableError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *unreadableError) Unwrap() error { return e.err }

// needFleet lists what a check without an entry leaves out.
var needFleet = []string{"names of domains", "capacity", "fencing settings", "published versions"}

// checkLocally checks a sheet by the rules that need nothing but the sheet and
// the state in force; st is nil if that is not known.
func checkLocally(sheet []byte, st *awconfig.State) (awcontrol.SheetReport, []awsheet.Row) {
	inv := awsheet.Inventory{Unknown: true, Out: map[string]bool{}}
	if st != nil {
		for name, d := range st.Domains {
			inv.Out[name] = d.Out
		}
	}
	result := awsheet.Check(sheet, inv)
	report := awcontrol.SheetReport{
		Valid: len(result.Faults) == 0, Faults: []string{}, Differences: []awconfig.Difference{}, NotChecked: needFleet,
		Findings: awcontrol.NewFindings(result.Faults, result.Warnings),
	}
	for _, f := range result.Faults {
		report.Faults = append(report.Faults, f.String())
	}
	return report, result.Rows
}

type checkCommand struct {
	command
	ctl     *ctl
	Against string `long:"against" value-name:"FILE|ADDRESS" description:"what is in force: a sheet, the output of awctl status -o json, or the address of the operators' listener of any entry"`
	Args    struct {
		File string `positional-arg-name:"FILE" description:"sheet to check; - for standard input"`
	} `positional-args:"yes" required:"yes"`
}

func (*checkCommand) needsEntry() bool { return false }

func (a *checkCommand) run(ctx context.Context) error {
	sheet, err := readInput(a.Args.File)
	if err != nil {
		return &unreadableError{err}
	}
	report, err := a.check(ctx, sheet)
	if err != nil {
		return &unreadableError{err}
	}
	if err := a.ctl.print(newCheckOutput(report, a.Against != ""), checkTable(report, a.Against != "")); err != nil {
		return err
	}
	if len(report.Findings) > 0 {
		return errReported
	}
	return nil
}

func (a *checkCommand) check(ctx context.Context, sheet []byte) (awcontrol.SheetReport, error) {
	if a.Against == "" {
		report, _ := checkLocally(sheet, nil)
		return report, nil
	}
	if address, ok := entryAddress(a.Against); ok {
		return checkAtEntry(ctx, address, sheet)
	}
	data, err := os.ReadFile(a.Against)
	if err != nil {
		return awcontrol.SheetReport{}, err
	}
	inForce, err := decodeInForce(data)
	if err != nil {
		return awcontrol.SheetReport{}, eris.Wrapf(err, "%s", a.Against)
	}
	report, rows := checkLocally(sheet, inForce)
	if report.Valid {
		report.Revision = inForce.Revision
		report.RemovedShare = awconfig.RemovedShare(inForce, models(rows))
		report.Differences = append(report.Differences, awconfig.DiffSheet(inForce, models(rows))...)
	}
	return report, nil
}

// entryAddress returns the URL of an entry if against is one, or an address
// host:port that is not the name of a file.
func entryAddress(against string) (string, bool) {
	if strings.HasPrefix(against, "http://") || strings.HasPrefix(against, "https://") {
		return against, true
	}
	if _, err := os.Stat(against); err == nil {
		return "", false
	}
	if _, _, err := net.SplitHostPort(against); err != nil {
		return "", false
	}
	return "http://" + against, true
}

// checkAtEntry lets an entry check a sheet.
func checkAtEntry(ctx context.Context, address string, sheet []byte) (awcontrol.SheetReport, error) {
	client := awcontrol.Client{Base: address, HTTP: newEntryClient()}
	report, err := client.Check(ctx, sheet)
	if err == nil && !report.Valid && len(report.Findings) == 0 {
		// Entries of an earlier version return only the text of the faults.
		for _, text := range report.Faults {
			report.Findings = append(report.Findings, awcontrol.Finding{Severity: awcontrol.SeverityError, Fault: awsheet.Fault{Message: text}})
		}
	}
	return report, err
}

// decodeInForce reads a sheet, or the output of awctl status -o json, as the
// state in force. It removes the digests of versions, which a sheet does not have.
func decodeInForce(data []byte) (*awconfig.State, error) {
	st := awconfig.NewState()
	if bytes.HasPrefix(bytes.TrimSpace(data), []byte("{")) {
		var status awcontrol.Status
		if err := json.Unmarshal(data, &status); err != nil {
			return nil, eris.Wrap(err, "decode status")
		}
		if status.State == nil {
			return nil, eris.New("no State; want the output of awctl status -o json")
		}
		st = status.State.Clone()
		for name, m := range st.Models {
			m.Digest = ""
			st.Models[name] = m
		}
		return st, nil
	}
	rows, faults := awsheet.Parse(data, awsheet.Inventory{Unknown: true})
	if len(faults) > 0 {
		return nil, eris.Errorf("not a valid sheet: %s", faults[0])
	}
	for _, m := range models(rows) {
		st.Models[m.Name] = m
	}
	return st, nil
}

func models(rows []awsheet.Row) []awconfig.Model {
	list := make([]awconfig.Model, 0, len(rows))
	for _, r := range rows {
		list = append(list, awconfig.Model{
			Name: r.Model, Version: r.Version, Replicas: r.Replicas, Domains: r.Domains, TeamShares: r.TeamShares, Fencing: r.Fencing,
		})
	}
	return list
}

// checkOutput is the JSON output of awctl check.
type checkOutput struct {
	Valid       bool // the sheet has no errors; it may have warnings
	Findings    []awcontrol.Finding
	NotChecked  []string              `json:",omitempty"` // what needs the fleet
	Revision    uint64                `json:",omitempty"` // revision that the sheet is compared with; 0 for a sheet
	Differences []awconfig.Difference `json:",omitempty"`
	Compared    bool                  // --against was given and the sheet has no errors
}

func newCheckOutput(r awcontrol.SheetReport, against bool) checkOutput {
	return checkOutput{
		Valid: r.Valid, Findings: append([]awcontrol.Finding{}, r.Findings...), NotChecked: r.NotChecked,
		Revision: r.Revision, Differences: r.Differences, Compared: against && r.Valid,
	}
}

// checkTable formats a report as text.
func checkTable(r awcontrol.SheetReport, against bool) string {
	var b strings.Builder
	if len(r.Findings) == 0 {
		fmt.Fprintln(&b, "no findings")
	} else {
		w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "SEVERITY\tLINE\tCOLUMN\tFIELD\tMESSAGE")
		for _, f := range r.Findings {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", f.Severity, number(f.Line), number(f.Column), orDash(f.Field), f.Message)
		}
		_ = w.Flush() // a strings.Builder does not fail
	}
	if against && r.Valid {
		w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "\nSUBJECT\tFIELD\tIN FORCE\tSHEET")
		for _, d := range r.Differences {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", d.Subject, d.Field, orDash(d.Was), orDash(d.Becomes))
		}
		_ = w.Flush()
		if len(r.Differences) == 0 {
			fmt.Fprintln(&b, "no differences")
		}
	}
	if len(r.NotChecked) > 0 {
		fmt.Fprintf(&b, "\nnot checked without an entry: %s\n", strings.Join(r.NotChecked, ", "))
	}
	return strings.TrimSuffix(b.String(), "\n")
}

func number(n int) string {
	if n == 0 {
		return "-"
	}
	return strconv.Itoa(n)
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
