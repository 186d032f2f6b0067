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
	Range   string // allowed values
	Meaning string
}

// keyDoc holds the unit, allowed values and meaning of a key.
type keyDoc struct{ unit, allowed, meaning string }

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

var commonKeys = map[string]keyDoc{
	"Process.Instance":         {unitText, required, "Unique name of the instance; also the name in its certificate."},
	"Process.Domain":           {unitText, required, "Failure domain of the instance."},
	"Process.Region":           {unitText, required, "Region of the instance."},
	"Process.Processors":       {"count", "0 or more", "Number of processors that run Go code at once (GOMAXPROCS); 0 means one per CPU. 1 gives the lowest latency until that processor is saturated."},
	"Platform.TableURL":        {"URL", "required for awentry", "URL of the table service."},
	"Platform.ObjectURL":       {"URL", "URL", "URL of the object store that holds configuration snapshots."},
	"Platform.OriginURL":       {"URL", "URL", "URL of the weight origin."},
	"Platform.InstanceListURL": {"URL", required, "URL of the instance list."},
	"Platform.Timeout":         {unitDuration, above0s, "Timeout of one call to a platform service."},
	"TLS.Certificate":          {"path", "required unless TLS.Plain", "Certificate of this instance, PEM. Reloaded when the file changes."},
	"TLS.Key":                  {"path", "required unless TLS.Plain", "Private key of the certificate, PEM."},
	"TLS.CA":                   {"path", "required unless TLS.Plain", "CA certificate that issued the certificates of all processes, PEM."},
	"TLS.Plain":                {"true or false", "true or false", "Use plain TCP for the internal protocol, without authenticating peers."},
	"Trace.Endpoint":           {"URL", "URL or empty", "OTLP collector over HTTP; empty disables tracing."},
	"Trace.SampleRatio":        {"share", "0 to 1", "Fraction of new traces that is kept."},
}

var entryKeys = map[string]keyDoc{
	"Listen.Callers":         {"address", address, "Listener for client requests."},
	"Listen.Operators":       {"address", address, "Listener for the operator API, health checks and metrics."},
	"Listen.Inner":           {"address", address, "Listener of the internal protocol."},
	"Limits.MaxBodyBytes":    {unitBytes, above0, "Maximum size of a request body."},
	"Limits.HeldBytes":       {unitBytes, above0, "Maximum bytes buffered for all streams together."},
	"Limits.StreamBytes":     {unitBytes, "4096 to 65536", "Maximum bytes buffered for one stream."},
	"Limits.DefaultDeadline": {unitDuration, above0s, "Deadline of requests that do not set one."},
	"Limits.MaxDeadline":     {unitDuration, above0s, "Longest deadline that a request may set."},
	"Limits.MaxRemovedShare": {"share", "0 to 1", "Fraction of the desired replicas that one sheet may remove without --allow-removal."},
	"Limits.MemoryMiB":       {"MiB", above0, "Memory above which the process is killed."},
	"Limits.MaxFiles":        {unitCount, "0 or more", "File descriptors that the process may open. They bound its connections, see hostile-clients.md; 0 means the resource limit of the process."},
	"Claims.Keep":            {unitDuration, "above twice Limits.MaxDeadline", "How long the result of an idempotency key is kept."},
	"Claims.DispatchTime":    {unitDuration, above0s, "Time that an entry has to dispatch an attempt after claiming its key; after that another entry may have the attempt refused and claim the key again."},
	"Claims.MaxResultBytes":  {unitBytes, "1 to 262144", "Maximum size of a result recorded in a claim; a larger one is recorded as run, without its body."},
	"Claims.MaxGroup":        {unitCount, "1 to 256", "Maximum claims in one transaction; 1 disables grouping."},
	"Claims.MaxQueue":        {unitCount, above0, "Maximum writes waiting for a transaction."},
	"Claims.WritesPerSecond": {"1/s", above0, "Limit on transactions for claims and their sweep, for all entries together; divided equally among them."},
	"Claims.RecordTime":      {unitDuration, above0s, "How long to retry recording a result that the store did not accept."},
	"Claims.SweepPeriod":     {unitDuration, above0s, "Interval between sweeps that delete expired claims."},
	"Claims.SweepRows":       {unitCount, "1 to 4096", "Maximum rows read in one sweep."},
	"Timing.ConfigPoll":      {unitDuration, above0s, "Minimum mean interval between reads of the head row; the interval grows with the number of entries."},
	"Timing.ListPoll":        {unitDuration, above0s, "Mean interval between reads of the instance list."},
	"Timing.Heartbeat":       {unitDuration, above0s, "Interval between heartbeats to agents."},
	"Timing.MissingAfter":    {unitDuration, above0s, "How long an instance may be silent before it is replaced."},
	"Timing.MaxIsolation":    {unitDuration, above0s, "Age at which the last read of the configuration store counts as stale; an entry that is isolated for longer stops accepting work."},
	"Timing.Drain":           {unitDuration, above0s, "How long running requests may take to finish on shutdown."},
}

var agentKeys = map[string]keyDoc{
	"Listen.Inner":         {"address", address, "Listener of the internal protocol; fixed per instance, so that only one agent can run on it."},
	"Listen.Advertised":    {"address", "IP:port or empty", "Address at which other processes reach Listen.Inner; empty means the same address."},
	"Listen.Local":         {"address", address, "Listener for the engine, health checks and metrics."},
	"Backend.URL":          {"URL", required, "URL of the backend server."},
	"Backend.Service":      {unitText, "any", "Name of the plain service; empty for a model engine."},
	"Backend.Fencing":      {unitText, "checked or ignored", "Whether the engine rejects commands with an outdated fencing token. A sheet that requires checked is rejected if an agent is set to ignored."},
	"Limits.MaxInFlight":   {unitCount, above0, "Maximum concurrent requests to the backend server."},
	"Limits.ColdInFlight":  {unitCount, "1 to Limits.MaxInFlight", "Maximum concurrent requests during a cold start."},
	"Limits.MaxQueue":      {unitCount, "0 or more", "Maximum queued requests."},
	"Limits.QueueBytes":    {unitBytes, "0 or more", "Maximum total size of the bodies of queued requests."},
	"Limits.MemoryBytes":   {unitBytes, above0, "Engine memory available to running requests."},
	"Limits.BytesPerToken": {unitBytes, above0, "Engine memory used per token of a running request."},
	"Limits.PauseAfter":    {unitDuration, above0s, "How long a stream may lack flow-control credit before the engine's stream is cancelled, to be resumed later."},
	"Limits.MemoryMiB":     {"MiB", above0, "Memory of the process besides weights."},
	"Limits.MaxFiles":      {unitCount, "0 or more", "File descriptors that the process may open. They bound its connections, see hostile-clients.md; 0 means the resource limit of the process."},
	"Weights.MemoryBytes":  {unitBytes, above0, "Instance memory for weights held by the agent."},
	"Weights.LinkMbit":     {"Mbit/s", "0 or more", "Bandwidth of the instance's link for weights; 0 means unlimited."},
	"Weights.RegionMbit":   {"Mbit/s", "0 or more", "Bandwidth for weights from other regions, for the whole region; 0 means unlimited."},
	"Weights.UploadSlots":  {unitCount, above0, "Maximum concurrent uploads of chunks to other agents."},
	"Weights.StoreRegion":  {unitText, "any", "Region of the weight origin."},
	"Timing.EnginePoll":    {unitDuration, above0s, "Interval between queries of the engine's state."},
	"Timing.ListPoll":      {unitDuration, above0s, "Interval between reads of the instance list."},
	"Timing.Announce":      {unitDuration, above0s, "Interval between announcements to entries."},
	"Timing.MaxIsolation":  {unitDuration, above0s, "How long an agent accepts work without a heartbeat from an entry whose configuration is fresh."},
	"Timing.PauseLimit":    {unitDuration, above0s, "Gap in execution after which the agent treats its process as paused."},
	"Timing.Drain":         {unitDuration, above0s, "How long running requests may take to finish on shutdown."},
}

// appliedAtReload ends the meaning of the keys in [ReloadedKeys].
const appliedAtReload = " `awgateway` applies a change when it reloads its settings."

var fleetKeys = map[string]keyDoc{
	"Regions":            {unitText, "one key for each failure domain", "Region of each failure domain."},
	"Listen.Callers":     {"address", "IP:port; awgateway", "Listener for client requests."},
	"Listen.Ready":       {"address", "IP:port; awgateway", "Listener for the load balancer's readiness check."},
	"Listen.Address":     {"address", "IP", "Listen address of the internal protocol and the metrics."},
	"Listen.InnerPort":   {"port", "1 to 65535", "Port for weight chunks over TCP and load reports over UDP; the same on every instance."},
	"Listen.MetricsPort": {"port", "0 to 65535", "Port that serves metrics at /metrics; 0 disables them."},
	"Store.Address":      {"address", address, "Address of the platform's store."},
	"Backend.Address":    {"address", "IP:port; awloader", "Model engine on the same instance."},
	"Backend.Service":    {unitText, "required; awloader", "Service of the model engine."},
	"Bounds.RetryRatio":  {"share", "0 or more", "Retries allowed per request of a service, for all entries together." + appliedAtReload},
	"Bounds.RetryFloor":  {unitCount, "0 or more", "Retries allowed in a window without any requests, for all entries together." + appliedAtReload},
	"Bounds.RetryWindow": {unitDuration, above0s, "Window over which requests and retries are counted." + appliedAtReload},
	"Bounds.Version":     {unitDuration, above0s, "Time from when a version is desired until no request may begin on older weights." + appliedAtReload},
	"Bounds.Grace":       {unitDuration, above0s, "Time from SIGTERM to SIGKILL." + appliedAtReload},
	"Bounds.DrainNotice": {unitDuration, above0s, "Time from the notice that a backend server is leaving until it gets no more requests; the server list is read at intervals of 0.37 times this."},
	"Bounds.Stable":      {unitDuration, above0s, "Time after an outage of the store, or of the path to it, within which a lost notification must be noticed; reads that the store holds open last 1.8 s less than this."},
	"Limits.MemoryMiB":   {"MiB", above0, "Memory above which the process is killed."},
	"Balance.Enabled":    {"true or false", "true or false; awgateway", "Balance the load of all services by demand; that of engines of services whose stream routes differ in priority or objective always is."},
	"Limits.MaxFiles":    {unitCount, "0 or more", "File descriptors that the process may open. They bound its connections, see hostile-clients.md; 0 means the resource limit of the process."},
	"Limits.LinkMbit":    {"Mbit/s", "0 or more", "Bandwidth of the instance's link; 0 means unlimited."},
	"Duties.Address":     {"address", "IP:port or empty; awgateway", "Where the platform takes the calls that are the duty of one gateway at a time; empty if there are none."},
	"Duties.Names":       {unitText, "list; awgateway", "Names of the duties."},
	"Duties.PerSecond":   {"1/s", "0 or more", "Limit on these calls, for all gateways together; 0 means unlimited."},
	"Duties.Lease":       {unitDuration, above0s, "Time within which the holder of a duty must not change and change back."},
	"Duties.Window":      {unitDuration, above0s, "Length of the windows of usage reports."},
	"Duties.UsageLate":   {unitDuration, above0s, "Time from the end of a window until its report is due."},
	"Duties.Tolerance":   {"share", "0 to 1", "Fraction by which a count may be off; windows above it are logged."},
}

// FleetKeys describes every key of the settings of awgateway and awloader.
func FleetKeys() []Key { return keys(DefaultFleet(), fleetKeys) }

// EntryKeys describes every key of awentry's settings.
func EntryKeys() []Key { return keys(DefaultEntry(), entryKeys) }

// AgentKeys describes every key of awagent's settings.
func AgentKeys() []Key { return keys(DefaultAgent(), agentKeys) }

func keys(defaults any, daemonKeys map[string]keyDoc) []Key {
	var list []Key
	v := reflect.ValueOf(defaults)
	for i := range v.NumField() {
		table := v.Type().Field(i).Name
		if v.Field(i).Kind() == reflect.Map {
			d := daemonKeys[table]
			list = append(list, Key{Name: table, Unit: d.unit, Range: d.allowed, Meaning: d.meaning})
			continue
		}
		for j := range v.Field(i).NumField() {
			name := table + "." + v.Field(i).Type().Field(j).Name
			d, ok := daemonKeys[name]
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

// Markdown returns the contents of docs/settings.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Settings\n\n" +
		"Every daemon reads the TOML file named by `--config`; with `--check` it validates the file and exits. Keys are in Pascal case. " +
		"Unknown keys and values out of range are rejected with an error that gives the line, key and allowed values. " +
		"Durations are written as `\"500ms\"` or `\"10s\"`.\n\n" +
		"awgateway and awloader reload the file on SIGHUP and when it changes. Changes of keys that do not say so take effect at the next start; " +
		"the log line `settings reloaded` names them as `NeedRestart`.\n\n" +
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
