package bench

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// formatTable formats results as CSV, with shares in percent and times in seconds.
func formatTable(results []Result) string {
	var b strings.Builder
	b.WriteString("deployment,case,variant,goodput_pct,recovery_s,worst_pct,wrongful_pct,service_pct,calm_refused_pct,crashes\n")
	for _, r := range results {
		fmt.Fprintf(&b, "%s,%s,%s,%.2f,%.2f,%.2f,%.3f,%.3f,%.3f,%d\n", r.Deployment, r.Case, r.Variant,
			100*r.Goodput, r.Recovery.Seconds(), 100*r.WorstCustomerShare, 100*r.WithinShareFailures, 100*r.FirstAttemptSuccess, 100*r.PreTriggerFailures, r.Crashes)
	}
	return b.String()
}

// parseTable reads CSV in the format of formatTable, so that results of several runs
// can be plotted together. For empty input it returns no results and no error.
func parseTable(r io.Reader) ([]Result, error) {
	records, err := csv.NewReader(r).ReadAll()
	if err != nil || len(records) == 0 {
		return nil, errors.Wrap(err, "read results as CSV")
	}
	var out []Result
	for _, record := range records[1:] {
		var numbers [7]float64
		for i := range numbers {
			if numbers[i], err = strconv.ParseFloat(record[3+i], 64); err != nil {
				return nil, errors.Wrapf(err, "parse result of case %s, variant %s", record[1], record[2])
			}
		}
		out = append(out, Result{
			Deployment: record[0], Case: record[1], Variant: record[2],
			Goodput:             numbers[0] / 100,
			Recovery:            time.Duration(numbers[1] * float64(time.Second)),
			WorstCustomerShare:  numbers[2] / 100,
			WithinShareFailures: numbers[3] / 100,
			FirstAttemptSuccess: numbers[4] / 100,
			PreTriggerFailures:  numbers[5] / 100,
			Crashes:             int(numbers[6]),
		})
	}
	return out, nil
}
