package awcontrol

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"arbutuswind/core/awconfig"
	"arbutuswind/core/awsheet"
	"arbutuswind/core/awweights"
	"arbutuswind/io/awstore"
)

// SheetError reports all errors found in a sheet.
type SheetError struct{ Faults []awsheet.Fault }

// Error implements the error interface.
func (e *SheetError) Error() string {
	return "the sheet has " + strconv.Itoa(len(e.Faults)) + " faults"
}

func (e *SheetError) lines() []string {
	list := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		list = append(list, f.String())
	}
	return list
}

// RemovalError reports that a sheet removes a larger share of the desired
// replicas than allowed. Share and Limit are between 0 and 1.
type RemovalError struct{ Share, Limit float64 }

// Error implements the error interface.
func (e *RemovalError) Error() string {
	return fmt.Sprintf("the sheet removes %.0f%% of the desired replicas, but at most %.0f%% are allowed; "+
		"use --allow-removal to remove them anyway", 100*e.Share, 100*e.Limit)
}

// UnknownError reports that the target of a change does not exist.
type UnknownError struct {
	Kind, Name string   // Kind is "domain" or "instance"
	Known      []string // valid names
}

// Error implements the error interface.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("unknown %s %q; valid names are %s", e.Kind, e.Name, strings.Join(e.Known, ", "))
}

// maxParallelPins bounds the number of manifests read from the origin in parallel.
const maxParallelPins = 8

// parseSheet parses a sheet and resolves its versions to manifest digests. If the
// sheet is invalid, it returns a [SheetError] with all errors found. The warnings
// are returned for an invalid sheet, too.
func (s *Server) parseSheet(ctx context.Context, sheet []byte) (models []awconfig.Model, warnings []awsheet.Fault, err error) {
	inv, err := s.inventory(ctx)
	if err != nil {
		return nil, nil, err
	}
	result := awsheet.Check(sheet, inv)
	models, unpublished, err := s.pinAll(ctx, result.Rows)
	if err != nil && len(result.Faults) == 0 {
		return nil, nil, err
	}
	faults := append(result.Faults, unpublished...)
	if len(faults) > 0 {
		slices.SortStableFunc(faults, func(a, b awsheet.Fault) int {
			return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
		})
		return nil, result.Warnings, &SheetError{Faults: faults}
	}
	return models, result.Warnings, nil
}

// pinAll pins the versions of the rows and returns a fault for each version that
// is not published or has an invalid manifest.
func (s *Server) pinAll(ctx context.Context, rows []awsheet.Row) ([]awconfig.Model, []awsheet.Fault, error) {
	models := make([]awconfig.Model, len(rows))
	unpublished := make([]*awsheet.Fault, len(rows))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelPins)
	for i, row := range rows {
		if row.Model == "" || row.Version == "" {
			continue // already reported by ParsePartial
		}
		group.Go(func() error {
			var err error
			models[i], unpublished[i], err = s.pin(ctx, row)
			return err
		})
	}
	err := group.Wait()
	var faults []awsheet.Fault
	for _, f := range unpublished {
		if f != nil {
			faults = append(faults, *f)
		}
	}
	return models, faults, err
}

// inventory reads from the instance list and the agents' reports what a sheet is
// checked against.
func (s *Server) inventory(ctx context.Context) (awsheet.Inventory, error) {
	list, err := s.Platform.Instances(ctx)
	if err != nil {
		return awsheet.Inventory{}, eris.Wrap(err, "read instance list")
	}
	inv := awsheet.Inventory{
		Instances: map[string]int{}, Unfenced: map[string]int{}, Out: map[string]bool{}, Drained: map[string]int{},
	}
	st := s.Holder.State()
	for name, d := range st.Domains {
		inv.Out[name] = d.Out
	}
	engines := map[string]bool{}
	for _, in := range list {
		if in.Role == "agent" && in.Service == "" {
			inv.Instances[in.Domain]++
			engines[in.ID] = true
			if st.Instances[in.ID].Drained {
				inv.Drained[in.Domain]++
			}
		}
	}
	for _, a := range s.Fleet() {
		if engines[a.Instance] && a.Fencing == string(awconfig.FencingIgnored) {
			inv.Unfenced[a.Domain]++
		}
	}
	inv.Domains = sortedKeys(inv.Instances)
	return inv, nil
}

// pin reads the manifest of the row's version from the origin and returns the
// model with its digest and size, or a fault if there is no valid manifest.
func (s *Server) pin(ctx context.Context, row awsheet.Row) (awconfig.Model, *awsheet.Fault, error) {
	fault := &awsheet.Fault{Line: row.Line, Column: row.VersionColumn, Field: awsheet.VersionField}
	data, err := s.Platform.Manifest(ctx, row.Model, row.Version)
	if errors.Is(err, awstore.ErrNotFound) {
		fault.Message = fmt.Sprintf("unknown version %q of model %q; the version must be published", row.Version, row.Model)
		return awconfig.Model{}, fault, nil
	}
	if err != nil {
		return awconfig.Model{}, nil, eris.Wrapf(err, "read manifest of %s %s", row.Model, row.Version)
	}
	m, err := awweights.DecodeManifest(data, "")
	if err != nil {
		fault.Message = fmt.Sprintf("version %q of model %q has an invalid manifest: %v", row.Version, row.Model, err)
		return awconfig.Model{}, fault, nil
	}
	return awconfig.Model{
		Name: row.Model, Version: row.Version, Digest: awweights.Digest(data), SizeBytes: m.SizeBytes,
		Replicas: row.Replicas, Domains: row.Domains, TeamShares: row.TeamShares, Fencing: row.Fencing,
	}, nil, nil
}

// checkTarget returns an [UnknownError] if the target of a change does not exist.
// Names already in the configuration are valid too, so that a domain whose
// instances are gone can be put back in service.
func (s *Server) checkTarget(ctx context.Context, kind awconfig.Kind, target string) error {
	list, err := s.Platform.Instances(ctx)
	if err != nil {
		return eris.Wrap(err, "read instance list")
	}
	st := s.Holder.State()
	kindName, names := "domain", map[string]bool{}
	switch kind {
	case awconfig.KindInstanceDrain, awconfig.KindInstanceReturn:
		kindName = "instance"
		for _, in := range list {
			names[in.ID] = true
		}
		for _, a := range s.Fleet() {
			names[a.Instance] = true
		}
		for name := range st.Instances {
			names[name] = true
		}
	default:
		for _, in := range list {
			names[in.Domain] = true
		}
		for name := range st.Domains {
			names[name] = true
		}
	}
	if names[target] {
		return nil
	}
	return &UnknownError{Kind: kindName, Name: target, Known: sortedKeys(names)}
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
