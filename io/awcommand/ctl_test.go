package awcommand_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace/noop"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awweights"
	"arbutuswind/internal/awport"
	"arbutuswind/internal/awstandin"
	"arbutuswind/io/awcommand"
	"arbutuswind/io/awcontrol"
	"arbutuswind/io/awentry"
	"arbutuswind/io/awsettings"
	"arbutuswind/io/awstore"
)

func put(t *testing.T, url string, body []byte) {
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.NoError(t, resp.Body.Close())
}

func encode(t *testing.T, v any) []byte {
	data, err := json.Marshal(v)
	require.NoError(t, err)
	return data
}

func freeAddress(t *testing.T) string {
	addr, err := awport.FreeAddress()
	require.NoError(t, err)
	return addr
}

// testTimeout ends a test that hangs; no result depends on its value.
const testTimeout = 2 * time.Minute

// startEntry runs an entry with a stand-in platform that holds the weights of
// version v1 of model rota and lists two agent instances in domain serra. It
// returns the URLs of the operators' listener and of the stand-in.
func startEntry(t *testing.T) (operators, platform string) {
	srv := httptest.NewServer(awstandin.NewPlatform(awstandin.PlatformConfig{}).Handler())
	t.Cleanup(srv.Close)
	for _, id := range []string{"engine-0", "engine-1"} {
		put(t, srv.URL+"/instances", encode(t, awstore.Instance{ID: id, Role: "agent", Address: "127.0.0.1:1", Domain: "serra"}))
	}
	data := []byte("weights")
	m := awweights.NewManifest("rota", "v1", data, len(data))
	put(t, srv.URL+"/chunks/"+m.Chunks[0], data)
	put(t, srv.URL+"/weights/rota/v1", encode(t, m))

	cfg := awsettings.DefaultEntry()
	cfg.Process = awsettings.Process{Instance: "entry-0", Domain: "serra", Region: "south"}
	cfg.Listen = awsettings.EntryListen{Callers: freeAddress(t), Operators: freeAddress(t), Inner: freeAddress(t)}
	cfg.Platform = awsettings.Platform{
		TableURL: srv.URL, ObjectURL: srv.URL, OriginURL: srv.URL, InstanceListURL: srv.URL + "/instances",
		Timeout: awsettings.Duration(2 * time.Second),
	}
	cfg.TLS.Plain = true
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- awentry.New(awentry.Config{
			Settings: cfg, Clock: awclock.System{}, Logger: log.NewNopLogger(), Tracer: noop.NewTracerProvider().Tracer(""), Incarnation: 1,
		}).Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		require.NoError(t, <-done)
	})
	operators = "http://" + cfg.Listen.Operators
	require.Eventually(t, func() bool {
		resp, err := http.Get(operators + "/readyz")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, testTimeout, 5*time.Millisecond)
	// The entry is ready before it has read the instance list.
	client := &awcontrol.Client{Base: operators, HTTP: http.DefaultClient}
	require.Eventually(t, func() bool {
		st, err := client.Status(t.Context())
		return err == nil && len(st.Agents) == 2
	}, testTimeout, 5*time.Millisecond)
	return operators, srv.URL
}

// Guards against changes to awctl's exit codes or JSON output that break
// operators' scripts.
func TestCtl(t *testing.T) {
	operators, platform := startEntry(t)
	writeSheet := func(text string) string {
		name := filepath.Join(t.TempDir(), "sheet.csv")
		require.NoError(t, os.WriteFile(name, []byte(text), 0o600))
		return name
	}
	const header = "Model,Version,Replicas,Domains,TeamShares,Fencing\n"
	good := writeSheet(header + "rota,v1,2,serra,,checked\n")
	bad := writeSheet(header + "rota,v1,x,sera,,checked\n")
	smaller := writeSheet(header + "rota,v1,1,serra,,checked\n")
	for _, c := range []struct {
		args string
		code int
		json string // part of standard output
		err  string // part of standard error
	}{
		{"", 2, "", "specify one command"},
		{"domain", 2, "", "specify one command"},
		{"apply", 2, "", "required argument"},
		{"status extra", 2, "", "unexpected argument"},
		{"--help", 0, "awctl apply sheet.csv --wait", ""},
		{"domain out --help", 0, "Example: awctl domain out", ""},
		{"validate " + bad, 1, `"Faults":["2:9: \"x\" is not a number of replicas; want 0 to 100000","2:11: unknown domain \"sera\"; want one or more of serra"]`, ""},
		{"validate " + good, 0, `"Valid":true`, ""},
		{"validate missing.csv", 1, "", "no such file"},
		{"apply " + bad, 1, `"Valid":false`, ""},
		{"diff " + good, 0, `{"Subject":"model rota","Field":"Replicas","Was":"","Becomes":"2"}`, ""},
		{"apply " + good, 0, `"Revision":1`, ""},
		{"apply " + good, 0, `"NoOp":true`, ""},
		{"apply " + smaller, 1, "", "removes 50%"},
		{"apply --allow-removal --base 0 " + smaller, 0, `"NoOp":false`, ""},
		{"domain out sera", 1, "", `"Known":["serra"]`},
		{"domain out serra", 0, `"NoOp":false`, ""},
		{"domain out serra", 0, `"NoOp":true`, ""},
		{"domain in --base 1 serra", 1, "", `"Winners":[{`},
		{"team limit parish 50", 0, `"NoOp":false`, ""},
		{"team limit parish 50", 0, `"NoOp":true`, ""},
		{"team limit parish 0", 0, `"NoOp":false`, ""},
		{"team limit parish -1", 2, "", "unknown flag"},
		{"team limit parish 1e9", 1, "", "want 0 (no limit) to 1e+06"},
		{"team limit par/ish 1", 1, "", "want letters, digits"},
		{"instance drain engine-9", 1, "", `"Known":["engine-0","engine-1"]`},
		{"instance drain --reason test engine-1", 0, `"NoOp":false`, ""},
		{"instance return --wait --wait-timeout 200ms engine-1", 1, `"Everywhere":false`, "behind: [engine-0 engine-1]"},
		{"rollout status", 0, `"Model":"rota","Version":"v1"`, ""},
		{"status", 0, `"SourceFresh":true`, ""},
		{"config history -n 3", 0, `"Kind":"InstanceReturn"`, ""},
		{"config history -n 0", 1, "", "N must be 1 to 4096"},
		{"config accept-reset", 1, "", "nothing to accept"},
	} {
		var stdout, stderr bytes.Buffer
		args := append([]string{"--entry", operators, "--actor", "ana", "-o", "json"}, strings.Fields(c.args)...)
		require.Equal(t, c.code, awcommand.Ctl(args, &stdout, &stderr), "%s: %s%s", c.args, &stdout, &stderr)
		require.Contains(t, stdout.String(), c.json, c.args)
		require.Contains(t, stderr.String(), c.err, c.args)
	}
	resp, err := http.Post(platform+"/fault", "application/json", strings.NewReader(`{"StoreDown":true}`))
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	var stdout, stderr bytes.Buffer
	args := []string{"--entry", operators, "domain", "in", "serra"}
	require.Equal(t, 1, awcommand.Ctl(args, &stdout, &stderr), "a change must not be accepted without a commit")
	require.Empty(t, stdout.String())
}
