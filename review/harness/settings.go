package main

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// deployFile holds the parts of deploy/system.toml that the harness uses.
type deployFile struct {
	Roles map[string]struct {
		Run      string `toml:"run"`
		Template string `toml:"template"`
	} `toml:"roles"`
}

func loadDeployFile() (deployFile, error) {
	var d deployFile
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return d, err
	}
	return d, toml.Unmarshal(data, &d)
}

// settings are the fields that the platform gives to a process, by name. The
// value of a field is a text or a map of texts.
type settings map[string]any

var sectionPattern = regexp.MustCompile(`(?s)\{\{#([a-z_.0-9]+)\}\}`)

// render fills in a template as the pages describe: values, and sections that are
// repeated for each entry of a table or kept once for a value.
func (s settings) render(template string) string {
	for {
		at := sectionPattern.FindStringSubmatchIndex(template)
		if at == nil {
			break
		}
		name := template[at[2]:at[3]]
		end := "{{/" + name + "}}"
		length := strings.Index(template[at[1]:], end)
		if length < 0 {
			break
		}
		body := template[at[1] : at[1]+length]
		template = template[:at[0]] + s.section(name, body) + template[at[1]+length+len(end):]
	}
	for name, value := range s {
		template = strings.ReplaceAll(template, "{{"+name+"}}", fmt.Sprint(value))
	}
	return template
}

func (s settings) section(name, body string) string {
	switch value := s[name].(type) {
	case nil:
		return ""
	case map[string]string:
		var keys []string
		for k := range value {
			keys = append(keys, k)
		}
		slices.Sort(keys)
		var out strings.Builder
		for _, k := range keys {
			out.WriteString(strings.NewReplacer("{{@}}", k, "{{.}}", value[k]).Replace(body))
		}
		return out.String()
	default:
		return strings.ReplaceAll(body, "{{.}}", fmt.Sprint(value))
	}
}

// zones are the zones of the deployment, each in a region of its own.
var zones = []string{"merrimack-a", "narragansett-a", "champlain-a"}

func regionOf(zone string) string { return strings.TrimSuffix(zone, "-a") }

// Bounds of the deployment pemi-ladle, from the pages.
const (
	graceS       = 8
	drainMs      = 2000
	versionMs    = 8000
	configMs     = 2000
	stableMs     = 3000
	heartbeatMs  = 1200
	retryFloor   = 104
	restartDelay = 500 // ms from the end of a process to its next start
)

// baseSettings returns the fields that all processes get.
func baseSettings(node, zone, ip, storeAddress string) settings {
	regions := map[string]string{}
	for _, z := range zones {
		regions[z] = regionOf(z)
	}
	return settings{
		"node": node, "zone": zone, "region": regionOf(zone), "zones": regions, "bind_ip": ip, "port_range.0": innerPort,
		"limits.cpu_cores": 1, "provider.address": storeAddress,
		"bounds.retry_budget_ratio": 0.2, "bounds.budget_min_retries": retryFloor, "bounds.budget_window_s": 10,
		"bounds.version_ms": versionMs, "bounds.grace_s": graceS, "bounds.drain_ms": drainMs,
	}
}
