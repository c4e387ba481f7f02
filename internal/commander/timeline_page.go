package commander

import (
	"fmt"
	"html/template"
	"io"
	"sort"
	"time"
)

// timelinePage is the template of a self-contained HTML page that shows a timeline
// with one column for each VM.
const timelinePage = `<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>bronzedrift timeline</title>
<style>
body{font:14px/1.4 sans-serif;margin:2em;color:#222}
table{border-collapse:collapse;width:100%}
th,td{border-left:1px solid #ccc;padding:.2em .6em;text-align:left;vertical-align:top}
th{position:sticky;top:0;background:#eee}
td.time{white-space:nowrap;font-family:monospace;border-left:0}
tr:hover{background:#f6f6ee}
.fault{color:#a00}
small{color:#666}
</style></head><body>
<h1>Timeline</h1>
<p>{{len .Rows}} events on {{len .VMs}} VMs{{range .Gaps}}<br><span class="fault">gap: {{.}}</span>{{end}}</p>
<table><tr><th>after</th>{{range .VMs}}<th>{{.}}</th>{{end}}</tr>
{{range .Rows}}<tr><td class="time">{{.After}}</td>{{range .Cells}}<td>{{if .}}{{.Number}} {{.Name}}<br><small>{{.Subject}}</small>{{end}}</td>{{end}}</tr>
{{end}}</table></body></html>
`

var timelineTemplate = template.Must(template.New("lanes").Parse(timelinePage))

// timelineCell is an event in the column of its VM.
type timelineCell struct {
	Number  int
	Name    string
	Subject string
}

// timelineRow holds one event: the cells of all other VMs are nil.
type timelineRow struct {
	After string
	Cells []*timelineCell
}

type timelineView struct {
	VMs  []string
	Gaps []string
	Rows []timelineRow
}

// writeTimelinePage writes a merged timeline as an HTML page.
func writeTimelinePage(w io.Writer, t *timelineJSON) error {
	v := timelineView{Gaps: t.Gaps}
	seen := map[string]bool{}
	for i := range t.Events {
		if vm := t.Events[i].VM; !seen[vm] {
			seen[vm] = true
			v.VMs = append(v.VMs, vm)
		}
	}
	sort.Strings(v.VMs)
	for i := range t.Events {
		e := &t.Events[i]
		row := timelineRow{After: e.ClockWall.Sub(t.Events[0].ClockWall).Round(time.Microsecond).String(), Cells: make([]*timelineCell, len(v.VMs))}
		column := sort.SearchStrings(v.VMs, e.VM)
		row.Cells[column] = &timelineCell{Number: e.Number, Name: e.Name, Subject: subjectOf(e)}
		v.Rows = append(v.Rows, row)
	}
	if err := timelineTemplate.Execute(w, v); err != nil {
		return fmt.Errorf("commander: timeline: %w", err)
	}
	return nil
}
