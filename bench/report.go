package bench

import (
	"fmt"
	"strings"
)

// csvTable renders results as comma-separated values, shares in percent and
// times in seconds.
func csvTable(results []Result) string {
	var b strings.Builder
	b.WriteString("deployment,case,variant,goodput_pct,recovery_s,worst_pct,wrongful_pct,service_pct,calm_refused_pct,crashes\n")
	for _, r := range results {
		fmt.Fprintf(&b, "%s,%s,%s,%.2f,%.2f,%.2f,%.3f,%.3f,%.3f,%d\n", r.Deployment, r.Case, r.Variant,
			100*r.Goodput, r.Recovery.Seconds(), 100*r.Worst, 100*r.Wrongful, 100*r.Service, 100*r.Calm, r.Crashes)
	}
	return b.String()
}
