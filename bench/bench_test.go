package bench

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"strings"
	"testing"
)

var (
	outputPath    = flag.String("policy.csv", "", "write the results of BenchmarkPolicy to this file as CSV")
	inputPath     = flag.String("policy.from", "", "read the results from this CSV file instead of running the cases")
	plotDir       = flag.String("policy.plots", "", "write plots of the main measures of BenchmarkPolicy to this directory")
	caseFilter    = flag.String("policy.case", "", "comma-separated list of cases to run; all if empty")
	variantFilter = flag.String("policy.variant", "", "comma-separated list of variants to run; all if empty")
)

// matchesFilter reports whether a comma-separated filter is empty or contains a name.
func matchesFilter(filter, name string) bool {
	if filter == "" {
		return true
	}
	for _, item := range strings.Split(filter, ",") {
		if item == name {
			return true
		}
	}
	return false
}

// collectResults runs the selected cases, or reads the file given by -policy.from.
func collectResults() ([]Result, error) {
	if *inputPath != "" {
		f, err := os.Open(*inputPath)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		return parseTable(f)
	}
	selectedJobs := selectJobs(func(_, c, v string) bool { return matchesFilter(*caseFilter, c) && matchesFilter(*variantFilter, v) })
	return runAll(selectedJobs, max(runtime.GOMAXPROCS(0)/2, 1)), nil
}

// BenchmarkPolicy runs every selected case once with every selected variant and
// reports the measures. It reports 0 ns/op, since the runs take virtual time.
func BenchmarkPolicy(b *testing.B) {
	results, err := collectResults()
	if err != nil {
		b.Fatal(err)
	}
	for _, r := range results {
		b.Run(fmt.Sprintf("%s/%s/%s", r.Deployment, r.Case, r.Variant), func(b *testing.B) {
			for range b.N {
			}
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(100*r.Goodput, "%goodput")
			b.ReportMetric(r.Recovery.Seconds(), "s-recovery")
			b.ReportMetric(100*r.WorstCustomerShare, "%worst")
			b.ReportMetric(100*r.WithinShareFailures, "%wrongful")
			b.ReportMetric(100*r.FirstAttemptSuccess, "%service")
			b.ReportMetric(100*r.PreTriggerFailures, "%calm-refused")
			b.ReportMetric(float64(r.Crashes), "crashes")
		})
	}
	if *plotDir != "" {
		if err := writePlots(results, *plotDir); err != nil {
			b.Fatal(err)
		}
	}
	if *outputPath != "" {
		if err := os.WriteFile(*outputPath, []byte(formatTable(results)), 0o644); err != nil {
			b.Fatal(err)
		}
	}
}
