package awsettings

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// Key describes one key of a settings file.
type Key struct {
	Name    string // e.g. "Timing.ConfigPoll"
	Unit    string
	Default string
	Range   string // what is allowed
	Meaning string
}

// described holds unit, range and meaning of a key.
type described struct{ unit, allowed, meaning string }

const (
	unitDuration = "duration"
	unitBytes    = "bytes"
	unitCount    = "count"
	unitText     = "text"
	above0       = "above 0"
	above0s      = "above 0s"
	required     = "required"
	address      = "IP:port"
)

var commonKeys = map[string]described{
	"Process.Instance":         {unitText, required, "Unique name of the instance; also the name in its certificate."},
	"Process.Domain":           {unitText, required, "Failure domain of the instance."},
	"Process.Region":           {unitText, required, "Region of the instance."},
	"Process.Processors":       {"count", "0 or more", "Processors that run Go code at once; 0 means all. One gives the least latency until it is busy."},
	"Platform.TableURL":        {"URL", "required for awentry", "Table service."},
	"Platform.ObjectURL":       {"URL", "URL", "Object store, for snapshots of the configuration."},
	"Platform.OriginURL":       {"URL", "URL", "Origin of the weights."},
	"Platform.InstanceListURL": {"URL", required, "Instance list."},
	"Platform.Timeout":         {unitDuration, above0s, "Limit of one call of the platform."},
	"TLS.Certificate":          {"path", "required unless TLS.Plain", "Certificate of this instance, PEM. Read again when it changes."},
	"TLS.Key":                  {"path", "required unless TLS.Plain", "Private key of the certificate, PEM."},
	"TLS.CA":                   {"path", "required unless TLS.Plain", "Issuer of the certificates of all processes of the system, PEM."},
	"TLS.Plain":                {"true or false", "true or false", "Internal protocol over plain TCP, without any check of who connects."},
	"Trace.Endpoint":           {"URL", "URL or empty", "OTLP collector over HTTP; empty turns traces off."},
	"Trace.SampleRatio":        {"share", "0 to 1", "Share of new traces that is kept."},
}

var entryKeys = map[string]described{
	"Listen.Callers":         {"address", address, "Listener for callers."},
	"Listen.Operators":       {"address", address, "Listener for operators, health and metrics."},
	"Listen.Inner":           {"address", address, "Listener of the internal protocol."},
	"Limits.MaxBodyBytes":    {unitBytes, above0, "Largest body of a request."},
	"Limits.HeldBytes":       {unitBytes, above0, "Bytes held for all streams together."},
	"Limits.StreamBytes":     {unitBytes, "4096 to 65536", "Bytes held for one stream."},
	"Limits.DefaultDeadline": {unitDuration, above0s, "Deadline of requests that state none."},
	"Limits.MaxDeadline":     {unitDuration, above0s, "Longest deadline that a request may state."},
	"Limits.MaxRemovedShare": {"share", "0 to 1", "Share of the wanted replicas that one sheet may remove without --allow-removal."},
	"Claims.Keep":            {unitDuration, "above twice Limits.MaxDeadline", "Time for which an idempotency key keeps its result."},
	"Claims.DispatchTime":    {unitDuration, above0s, "Time that a claimant has to dispatch before others may claim again."},
	"Claims.MaxResultBytes":  {unitBytes, "1 to 262144", "Largest result kept in a claim; a larger one is recorded as run without its body."},
	"Claims.MaxGroup":        {unitCount, "1 to 256", "Claims in one transaction; 1 turns grouping off."},
	"Claims.MaxQueue":        {unitCount, above0, "Writes that wait for a transaction."},
	"Claims.WritesPerSecond": {"1/s", above0, "Transactions of all entries together for claims and their sweep; each entry takes an equal part."},
	"Claims.RecordTime":      {unitDuration, above0s, "Time for which a result is retried that the store does not take."},
	"Claims.SweepPeriod":     {unitDuration, above0s, "Time between deletions of expired claims."},
	"Claims.SweepRows":       {unitCount, "1 to 4096", "Rows looked at in one sweep."},
	"Timing.ConfigPoll":      {unitDuration, above0s, "Least mean time between reads of the head row; grows with the number of entries."},
	"Timing.ListPoll":        {unitDuration, above0s, "Mean time between reads of the instance list."},
	"Timing.Heartbeat":       {unitDuration, above0s, "Period of the heartbeats to agents."},
	"Timing.MissingAfter":    {unitDuration, above0s, "Silence after which an instance is replaced."},
	"Timing.MaxIsolation":    {unitDuration, above0s, "Age at which the configuration's source is no longer fresh; an entry that is cut off for longer stops taking work."},
	"Timing.Drain":           {unitDuration, above0s, "Time for running requests at a planned stop."},
}

var agentKeys = map[string]described{
	"Listen.Inner":         {"address", address, "Listener of the internal protocol; fixed for the instance, so that only one agent can run."},
	"Listen.Advertised":    {"address", "IP:port or empty", "Address at which others reach Listen.Inner; empty means the same."},
	"Listen.Local":         {"address", address, "Listener for the engine, health and metrics."},
	"Backend.URL":          {"URL", required, "Backend server."},
	"Backend.Service":      {unitText, "any", "Name of the plain service; empty for a model engine."},
	"Backend.Fencing":      {unitText, "checked or ignored", "Whether the engine refuses commands with an old fencing token. A sheet that says checked is refused where an agent says ignored."},
	"Limits.MaxInFlight":   {unitCount, above0, "Requests that the backend server handles at once."},
	"Limits.ColdInFlight":  {unitCount, "1 to Limits.MaxInFlight", "Requests at once in cold start."},
	"Limits.MaxQueue":      {unitCount, "0 or more", "Requests that wait."},
	"Limits.QueueBytes":    {unitBytes, "0 or more", "Bytes of the requests that wait."},
	"Limits.MemoryBytes":   {unitBytes, above0, "Memory of the engine for running requests."},
	"Limits.BytesPerToken": {unitBytes, above0, "Memory that one token of a running request takes."},
	"Limits.PauseAfter":    {unitDuration, above0s, "Time without credit after which the engine's stream is cancelled, to be resumed later."},
	"Weights.MemoryBytes":  {unitBytes, above0, "Memory of the instance for weights held by the agent."},
	"Weights.LinkMbit":     {"Mbit/s", "0 or more", "Rate of the instance's link for weights; 0 means unlimited."},
	"Weights.RegionMbit":   {"Mbit/s", "0 or more", "Rate taken from a region link; 0 means unlimited."},
	"Weights.UploadSlots":  {unitCount, above0, "Chunks sent to other agents at once."},
	"Weights.StoreRegion":  {unitText, "any", "Region of the weight origin."},
	"Timing.EnginePoll":    {unitDuration, above0s, "Time between looks at the engine."},
	"Timing.ListPoll":      {unitDuration, above0s, "Time between reads of the instance list."},
	"Timing.Announce":      {unitDuration, above0s, "Time between announcements to entries."},
	"Timing.MaxIsolation":  {unitDuration, above0s, "Time without a fresh configuration source after which the agent stops taking work."},
	"Timing.PauseLimit":    {unitDuration, above0s, "Gap after which the process takes itself for paused."},
	"Timing.Drain":         {unitDuration, above0s, "Time for running requests at a planned stop."},
}

var fleetKeys = map[string]described{
	"Regions":            {unitText, "one key for each failure domain", "Region of each failure domain."},
	"Listen.Callers":     {"address", "IP:port; awgateway", "Listener for callers."},
	"Listen.Ready":       {"address", "IP:port; awgateway", "Listener for the balancer's question whether callers may be sent here."},
	"Listen.Address":     {"address", "IP", "Address of the internal protocol and the metrics."},
	"Listen.InnerPort":   {"port", "1 to 65535", "Weight pieces over TCP and load reports over UDP; the same on every instance."},
	"Listen.MetricsPort": {"port", "0 to 65535", "Metrics at /metrics; 0 turns them off."},
	"Store.Address":      {"address", address, "The platform's store."},
	"Backend.Address":    {"address", "IP:port; awloader", "Model engine on the same instance."},
	"Backend.Service":    {unitText, "required; awloader", "Service of the model engine."},
	"Bounds.RetryRatio":  {"share", "0 or more", "Repetitions for each request of a service, all entries together."},
	"Bounds.RetryFloor":  {unitCount, "0 or more", "Repetitions in a window without any request, all entries together."},
	"Bounds.RetryWindow": {unitDuration, above0s, "Window in which repetitions are counted."},
	"Bounds.Version":     {unitDuration, above0s, "From the naming of a version until no request begins on older weights."},
	"Bounds.Grace":       {unitDuration, above0s, "From SIGTERM to SIGKILL."},
	"Bounds.DrainNotice": {unitDuration, above0s, "From the notice that a backend server leaves until it gets no more requests; the list is read 0.37 of it apart."},
	"Limits.MemoryMiB":   {"MiB", above0, "Memory above which the process is killed."},
	"Limits.LinkMbit":    {"Mbit/s", "0 or more", "Rate of the instance's link; 0 means unlimited."},
}

// FleetKeys describes every key of the settings of awgateway and awloader.
func FleetKeys() []Key { return keys(DefaultFleet(), fleetKeys) }

// EntryKeys describes every key of awentry's settings.
func EntryKeys() []Key { return keys(DefaultEntry(), entryKeys) }

// AgentKeys describes every key of awagent's settings.
func AgentKeys() []Key { return keys(DefaultAgent(), agentKeys) }

func keys(defaults any, own map[string]described) []Key {
	var list []Key
	v := reflect.ValueOf(defaults)
	for i := range v.NumField() {
		table := v.Type().Field(i).Name
		if v.Field(i).Kind() == reflect.Map {
			d := own[table]
			list = append(list, Key{Name: table, Unit: d.unit, Range: d.allowed, Meaning: d.meaning})
			continue
		}
		for j := range v.Field(i).NumField() {
			name := table + "." + v.Field(i).Type().Field(j).Name
			d, ok := own[name]
			if !ok {
				d = commonKeys[name]
			}
			list = append(list, Key{
				Name: name, Unit: d.unit, Default: defaultText(v.Field(i).Field(j)), Range: d.allowed, Meaning: d.meaning,
			})
		}
	}
	return list
}

func defaultText(v reflect.Value) string {
	switch val := v.Interface().(type) {
	case Duration:
		return val.Std().String()
	case string:
		if val == "" {
			return ""
		}
		return strconv.Quote(val)
	default:
		return fmt.Sprint(val)
	}
}

// Markdown returns docs/settings.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Settings\n\n" +
		"Every daemon reads a TOML file that is named by `--config`; `--check` checks it and exits. Keys are in Pascal case. " +
		"Unknown keys and values out of range are refused with line, key and what is allowed. " +
		"Durations are written as `\"500ms\"` or `\"10s\"`.\n\n" +
		"This page is generated from the package `awsettings`: `UPDATE=1 go test ./io/awsettings`.\n")
	for _, t := range []struct {
		title string
		keys  []Key
	}{{"awentry", EntryKeys()}, {"awagent", AgentKeys()}, {"awgateway and awloader", FleetKeys()}} {
		fmt.Fprintf(&b, "\n## %s\n\n| Key | Unit | Default | Allowed | Meaning |\n| --- | --- | --- | --- | --- |\n", t.title)
		for _, k := range t.keys {
			def := ""
			if k.Default != "" {
				def = "`" + k.Default + "`"
			}
			fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", k.Name, k.Unit, def, k.Range, k.Meaning)
		}
	}
	return b.String()
}
