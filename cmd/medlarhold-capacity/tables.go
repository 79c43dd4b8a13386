package main

import "fmt"

// phaseTable renders the resource usage per instance in each window.
func phaseTable(phases []phase) string {
	head := []string{"instances", "window", "s", "control B/s (largest)", "of which peer", "platform", "polls of idle endpoints", "caused by requests B/s", "of which polls", "requests/s",
		"CPU % of a core", "control goroutine: control %", "requests %", "resident MB (largest)", "heap MB", "goroutines", "log calls/s", "note"}
	var rows [][]string
	for _, p := range phases {
		m := p.mean
		rows = append(rows, []string{
			p.fleet, p.name, fmt.Sprintf("%.0f", p.length.Seconds()), fmt.Sprintf("%.0f (%.0f)", m.control, p.maxControl),
			fmt.Sprintf("%.0f", m.bytes[traffic{"peer", "control"}]), fmt.Sprintf("%.0f", m.bytes[traffic{"platform", "control"}]),
			fmt.Sprintf("%.0f", m.bytes[traffic{"poll", "control"}]), fmt.Sprintf("%.0f", m.request), fmt.Sprintf("%.0f", m.bytes[traffic{"poll", "request"}]), fmt.Sprintf("%.1f", m.completed),
			percent(m.cpu), percent(m.controlCPU), percent(m.requestCPU),
			fmt.Sprintf("%.1f (%.1f)", m.residentMB, p.maxResident), fmt.Sprintf("%.1f", m.heapMB), fmt.Sprintf("%.0f", m.goroutines),
			fmt.Sprintf("%.2f", m.logCalls), p.note,
		})
	}
	return table(head, rows)
}

// stateTable renders the resource usage of one instance by size of the
// configuration.
func stateTable(results []stateResult) string {
	head := []string{"contracts", "endpoints", "resident MB", "heap MB", "CPU % of a core", "control B/s", "ready after s"}
	var rows [][]string
	for _, r := range results {
		rows = append(rows, []string{
			fmt.Sprint(r.contracts), fmt.Sprint(r.endpoints), fmt.Sprintf("%.1f", r.rates.residentMB), fmt.Sprintf("%.1f", r.rates.heapMB),
			percent(r.rates.cpu), fmt.Sprintf("%.0f", r.rates.control), fmt.Sprintf("%.1f", r.ready.Seconds()),
		})
	}
	return table(head, rows)
}

func percent(share float64) string { return fmt.Sprintf("%.2f", 100*share) }
