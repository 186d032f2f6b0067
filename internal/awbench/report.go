package awbench

import (
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"maps"
	"math"
	"slices"

	"github.com/rotisserie/eris"
)

// Section holds the result of one experiment in a report.
type Section struct {
	Name   string
	Result any    // written as JSON
	Err    string // empty if the experiment succeeded
}

// bar is a row of the bar chart of a section.
type bar struct {
	Name  string
	Value string
	Width float64 // pixels
}

type sectionView struct {
	Name string
	Err  string
	JSON string
	Bars []bar
}

// plotWidth is the width of the longest bar, in pixels.
const plotWidth = 360

var reportPage = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>awbench report</title>
<style>body{font-family:sans-serif;max-width:60em;margin:2em auto}td{padding:0 .6em}
pre{white-space:pre-wrap;background:#f4f4f4;padding:.5em}.err{color:#a00}</style></head><body>
<h1>awbench report</h1>
<p>Bars compare the numbers of one experiment on a logarithmic scale.</p>
{{range .}}<h2>{{.Name}}</h2>{{if .Err}}<p class="err">{{.Err}}</p>{{end}}
<table>{{range .Bars}}<tr><td>{{.Name}}</td><td align="right">{{.Value}}</td>
<td><svg width="370" height="12"><rect width="{{printf "%.0f" .Width}}" height="12" fill="#46a"/></svg></td></tr>
{{end}}</table><pre>{{.JSON}}</pre>
{{end}}</body></html>
`))

// WriteReport writes the sections as an HTML page with a bar chart for each.
func WriteReport(w io.Writer, sections []Section) error {
	views := make([]sectionView, 0, len(sections))
	for _, s := range sections {
		data, err := json.Marshal(s.Result)
		if err != nil {
			return eris.Wrapf(err, "encode result of %s", s.Name)
		}
		var fields any
		if err := json.Unmarshal(data, &fields); err != nil {
			return eris.Wrapf(err, "decode result of %s", s.Name)
		}
		numbers := map[string]float64{}
		collectNumbers("", fields, numbers)
		views = append(views, sectionView{Name: s.Name, Err: s.Err, JSON: string(data), Bars: bars(numbers)})
	}
	return eris.Wrap(reportPage.Execute(w, views), "write report")
}

// collectNumbers adds the numbers in v to the map, keyed by field path.
func collectNumbers(path string, v any, into map[string]float64) {
	switch x := v.(type) {
	case float64:
		into[path] = x
	case map[string]any:
		for name, field := range x {
			if path != "" {
				name = path + "." + name
			}
			collectNumbers(name, field, into)
		}
	case []any:
		for i, field := range x {
			collectNumbers(fmt.Sprintf("%s[%d]", path, i), field, into)
		}
	}
}

func bars(numbers map[string]float64) []bar {
	maxLog := 0.0
	for _, n := range numbers {
		maxLog = max(maxLog, math.Log1p(math.Abs(n)))
	}
	var list []bar
	for _, name := range slices.Sorted(maps.Keys(numbers)) {
		b := bar{Name: name, Value: fmt.Sprintf("%.6g", numbers[name])}
		if maxLog > 0 {
			b.Width = plotWidth * math.Log1p(math.Abs(numbers[name])) / maxLog
		}
		list = append(list, b)
	}
	return list
}
