package awproof

import (
	"os"
	"path/filepath"
	"testing"

	"arbutuswind/core/awconfig"
	"arbutuswind/core/awsheet"
	"arbutuswind/core/awweights"
	"arbutuswind/io/awsettings"
)

// The fuzz targets guard against input that makes a decoder panic, and against
// input that it accepts but that is invalid or cannot be encoded again.

func FuzzSheet(f *testing.F) {
	f.Add([]byte("Model,Version,Replicas,Domains,TeamShares,Fencing\nrota,v1,1,merrimack,a=1,checked\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		rows, faults := awsheet.Parse(data, awsheet.Inventory{Domains: domains, Instances: map[string]int{domains[0]: 3}})
		for _, r := range rows {
			if len(faults) == 0 && (r.Model == "" || r.Replicas < 0 || r.Replicas > 3) {
				t.Fatalf("accepted %+v", r)
			}
		}
	})
}

func FuzzSettings(f *testing.F) {
	f.Add([]byte("[Process]\nInstance = \"a\"\n[Claims]\nKeep = \"1h\"\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		file := filepath.Join(t.TempDir(), "settings.toml")
		if err := os.WriteFile(file, data, 0o600); err != nil {
			t.Fatal(err)
		}
		if cfg, err := awsettings.LoadEntry(file); err == nil && (cfg.Process.Instance == "" || cfg.Claims.MaxGroup < 1) {
			t.Fatalf("accepted %+v", cfg)
		}
	})
}

func FuzzChange(f *testing.F) {
	f.Add([]byte(`{"Revision":1,"Kind":"ApplySheet","Models":[{"Name":"rota","Digest":"d"}]}`))
	f.Add([]byte(`{"Revision":1,"Kind":"Place","Placements":{"a":{"Model":"rota"}}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := awconfig.DecodeChange(data)
		if err != nil {
			return
		}
		s, err := awconfig.NewState().Apply(c)
		if err != nil {
			return
		}
		encoded, err := s.Encode()
		if err != nil {
			t.Fatal(err)
		}
		again, err := awconfig.DecodeState(encoded)
		if err != nil || again.Digest() != s.Digest() {
			t.Fatalf("state changes after encoding and decoding: %v", err)
		}
	})
}

func FuzzView(f *testing.F) {
	f.Add([]byte(`{"Revision":1,"Instance":"a","Out":true}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		v, err := awconfig.DecodeView(data)
		if err != nil {
			return
		}
		if _, err := v.Encode(); err != nil {
			t.Fatal(err)
		}
	})
}

func FuzzManifest(f *testing.F) {
	f.Add(manifests[versions[0]])
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := awweights.DecodeManifest(data, "")
		if err != nil {
			return
		}
		var sum uint64
		for i := range m.Chunks {
			sum += m.ChunkSize(i)
		}
		if sum != m.SizeBytes {
			t.Fatalf("chunk sizes add up to %d bytes, manifest says %d", sum, m.SizeBytes)
		}
	})
}
