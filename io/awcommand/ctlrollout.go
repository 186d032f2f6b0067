package awcommand

import (
	"context"
	"fmt"
	"strings"
	"time"

	"arbutuswind/io/awcontrol"
)

type rolloutStatusCommand struct {
	command
	ctl *ctl
}

func (a *rolloutStatusCommand) run(ctx context.Context) error {
	s, err := a.ctl.client().Status(ctx)
	if err != nil {
		return err
	}
	list := s.Rollouts()
	var lines []string
	halted := false
	for _, r := range list {
		lines = append(lines, rolloutLines(r)...)
		halted = halted || r.Halted != ""
	}
	if err := a.ctl.print(list, strings.Join(lines, "\n")); err != nil {
		return err
	}
	if halted {
		return errReported
	}
	return nil
}

// rolloutLines formats a rollout as a table with one line per failure domain,
// each followed by the errors of that domain.
func rolloutLines(r awcontrol.RolloutStatus) []string {
	head := fmt.Sprintf("%s %s: %d of %d replicas serve", r.Model, r.Version, r.Serving, r.Replicas)
	if r.Halted != "" {
		head += ", halted: " + r.Halted
	}
	lines := []string{head, fmt.Sprintf("  %-14s %6s %8s %7s %7s %7s %5s %13s %5s %4s %8s",
		"DOMAIN", "PLACED", "FETCHING", "LOADING", "WARMING", "SERVING", "OTHER", "CHUNKS", "PEERS", "BAD", "ETA")}
	for _, d := range r.Domains {
		lines = append(lines, fmt.Sprintf("  %-14s %6d %8d %7d %7d %7d %5d %13s %5d %4d %8s",
			d.Domain, d.Placed, d.Fetching, d.Loading+d.Held, d.Warming, d.Serving, d.Old,
			fmt.Sprintf("%d/%d", d.ChunksHeld, d.Chunks), d.Peers, d.BadChunks, time.Duration(d.EtaMs)*time.Millisecond))
		for _, e := range d.Errors {
			lines = append(lines, "    "+e)
		}
	}
	return lines
}
