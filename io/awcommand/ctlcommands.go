package awcommand

import (
	"context"
	"fmt"
	"strings"
	"time"

	"arbutuswind/core/awconfig"
	"arbutuswind/io/awcontrol"
)

type validateCommand struct {
	command
	sheetArgs
	ctl *ctl
}

func (*validateCommand) needsEntry() bool { return false }

func (a *validateCommand) run(ctx context.Context) error {
	if a.ctl.opts.Entry == "" {
		return a.runLocally()
	}
	report, err := a.ctl.check(ctx, &a.sheetArgs)
	if err != nil {
		return err
	}
	if !report.Valid {
		return a.ctl.invalid(report)
	}
	text := "the sheet is valid"
	if !report.RemovalOK {
		text += fmt.Sprintf("; it removes %.0f%% of the desired replicas and needs --allow-removal", 100*report.RemovedShare)
	}
	return a.ctl.print(report, text)
}

// runLocally checks the sheet without an entry.
func (a *validateCommand) runLocally() error {
	data, err := a.read()
	if err != nil {
		return err
	}
	report, _ := checkLocally(data, nil)
	if !report.Valid {
		return a.ctl.invalid(report)
	}
	return a.ctl.print(report, "the sheet is valid; not checked without an entry: "+strings.Join(report.NotChecked, ", "))
}

func (c *ctl) check(ctx context.Context, sheet *sheetArgs) (awcontrol.SheetReport, error) {
	data, err := sheet.read()
	if err != nil {
		return awcontrol.SheetReport{}, err
	}
	return c.client().Check(ctx, data)
}

func (c *ctl) invalid(report awcontrol.SheetReport) error {
	if err := c.print(report, strings.Join(report.Faults, "\n")); err != nil {
		return err
	}
	return errReported
}

type diffCommand struct {
	command
	sheetArgs
	ctl *ctl
}

func (a *diffCommand) run(ctx context.Context) error {
	report, err := a.ctl.check(ctx, &a.sheetArgs)
	if err != nil {
		return err
	}
	if !report.Valid {
		return a.ctl.invalid(report)
	}
	return a.ctl.print(report, differences(report.Differences, report.Revision))
}

func differences(list []awconfig.Difference, revision uint64) string {
	lines := []string{fmt.Sprintf("compared with revision %d", revision)}
	for _, d := range list {
		lines = append(lines, d.String())
	}
	if len(list) == 0 {
		lines = append(lines, "nothing would change")
	}
	return strings.Join(lines, "\n")
}

type applyCommand struct {
	command
	sheetArgs
	waitOptions
	ctl          *ctl
	AllowRemoval bool   `long:"allow-removal" description:"accept a sheet that removes a larger share of the desired replicas than MaxRemovedShare"`
	Base         uint64 `long:"base" value-name:"REVISION" description:"refuse the sheet if an operator's change was committed after this revision; default: the newest revision"`
}

func (a *applyCommand) limit() time.Duration { return a.waitOptions.limit() }

func (a *applyCommand) run(ctx context.Context) error {
	data, err := a.read()
	if err != nil {
		return err
	}
	base := a.Base
	if base == 0 {
		// A change that is committed between this check and the apply causes a
		// conflict. If two operators apply sheets at the same time, one of them
		// is told of the other's change.
		report, err := a.ctl.client().Check(ctx, data)
		if err != nil {
			return err
		}
		if !report.Valid {
			return a.ctl.invalid(report)
		}
		base = report.Revision
	}
	acc, err := a.ctl.client().ApplyWith(ctx, data, awcontrol.ApplyOptions{
		Actor: a.ctl.opts.Actor, Base: base, AllowRemoval: a.AllowRemoval,
	})
	if err != nil {
		return err
	}
	return a.ctl.finish(ctx, acc, a.waitOptions)
}

type changeCommand struct {
	command
	waitOptions
	ctl    *ctl
	kind   awconfig.Kind
	Reason string `long:"reason" description:"recorded with the change"`
	Base   uint64 `long:"base" value-name:"REVISION" description:"refuse the change if an operator's change was committed after this revision"`
	Args   struct {
		Target string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`
}

func (a *changeCommand) limit() time.Duration { return a.waitOptions.limit() }

func (a *changeCommand) run(ctx context.Context) error {
	acc, err := a.ctl.client().Change(ctx, awcontrol.ChangeRequest{
		Kind: a.kind, Target: a.Args.Target, Actor: a.ctl.opts.Actor, Reason: a.Reason, Base: a.Base,
	})
	if err != nil {
		return err
	}
	return a.ctl.finish(ctx, acc, a.waitOptions)
}

type teamLimitCommand struct {
	command
	waitOptions
	ctl    *ctl
	Reason string `long:"reason" description:"recorded with the change"`
	Base   uint64 `long:"base" value-name:"REVISION" description:"refuse the change if an operator's change was committed after this revision"`
	Args   struct {
		Team string  `positional-arg-name:"TEAM"`
		Rate float64 `positional-arg-name:"REQUESTS-PER-SECOND"`
	} `positional-args:"yes" required:"yes"`
}

func (a *teamLimitCommand) limit() time.Duration { return a.waitOptions.limit() }

func (a *teamLimitCommand) run(ctx context.Context) error {
	acc, err := a.ctl.client().Change(ctx, awcontrol.ChangeRequest{
		Kind: awconfig.KindTeamLimit, Target: a.Args.Team, Rate: a.Args.Rate, Actor: a.ctl.opts.Actor, Reason: a.Reason, Base: a.Base,
	})
	if err != nil {
		return err
	}
	return a.ctl.finish(ctx, acc, a.waitOptions)
}

type statusCommand struct {
	command
	ctl *ctl
}

func (a *statusCommand) run(ctx context.Context) error {
	s, err := a.ctl.client().Status(ctx)
	if err != nil {
		return err
	}
	lines := []string{fmt.Sprintf("revision %d, source %d ms old", s.Revision, s.SourceAgeMs)}
	if !s.SourceFresh {
		lines = append(lines, "no fresh configuration source: neither the store nor a peer that has read it replies")
	}
	if s.StoreReset != "" {
		lines = append(lines, s.StoreReset)
	}
	for _, id := range s.FencingConflicts {
		lines = append(lines, fmt.Sprintf("%s: the sheet says that fencing tokens are checked, but the settings of the instance say that they are ignored", id))
	}
	for _, ag := range s.Agents {
		lines = append(lines, fmt.Sprintf("%-12s %-14s %-9s %s %s view %d", ag.Instance, ag.Domain, ag.State, ag.Model, ag.Version, ag.ViewRevision))
	}
	return a.ctl.print(s, strings.Join(lines, "\n"))
}

type historyCommand struct {
	command
	ctl *ctl
	N   int `short:"n" long:"number" default:"20" description:"number of changes to show, 1 to 4096"`
}

func (a *historyCommand) run(ctx context.Context) error {
	list, err := a.ctl.client().History(ctx, a.N)
	if err != nil {
		return err
	}
	var lines []string
	for _, c := range list {
		lines = append(lines, fmt.Sprintf("%8d %-18s %-16s by %s %s", c.Revision, c.Kind, c.Target, c.Actor, c.Reason))
	}
	return a.ctl.print(list, strings.Join(lines, "\n"))
}

type acceptResetCommand struct {
	command
	waitOptions
	ctl    *ctl
	Reason string `long:"reason" description:"recorded with the decision"`
}

func (a *acceptResetCommand) limit() time.Duration { return a.waitOptions.limit() }

func (a *acceptResetCommand) run(ctx context.Context) error {
	acc, err := a.ctl.client().AcceptReset(ctx, a.ctl.opts.Actor, a.Reason)
	if err != nil {
		return err
	}
	return a.ctl.finish(ctx, acc, a.waitOptions)
}
