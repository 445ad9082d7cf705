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
	csvPath     = flag.String("policy.csv", "", "write the table of BenchmarkPolicy to this file")
	fromPath    = flag.String("policy.from", "", "read the results from this table instead of running the cases")
	plotDir     = flag.String("policy.plots", "", "write one plot for each measure of BenchmarkPolicy into this directory")
	onlyCase    = flag.String("policy.case", "", "comma-separated cases to run; all by default")
	onlyVariant = flag.String("policy.variant", "", "comma-separated variants to run; all by default")
)

func selected(list, name string) bool {
	if list == "" {
		return true
	}
	for _, item := range strings.Split(list, ",") {
		if item == name {
			return true
		}
	}
	return false
}

// results runs the selected cases, or reads the table given by -policy.from.
func results() ([]Result, error) {
	if *fromPath != "" {
		f, err := os.Open(*fromPath)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		return readTable(f)
	}
	selectedJobs := jobs(func(_, c, v string) bool { return selected(*onlyCase, c) && selected(*onlyVariant, v) })
	return runAll(selectedJobs, max(runtime.GOMAXPROCS(0)/2, 1)), nil
}

// BenchmarkPolicy runs every selected case with every selected variant once, in
// virtual time, and reports the measures. Its ns/op is no measure of a policy.
func BenchmarkPolicy(b *testing.B) {
	results, err := results()
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
	if *csvPath != "" {
		if err := os.WriteFile(*csvPath, []byte(csvTable(results)), 0o644); err != nil {
			b.Fatal(err)
		}
	}
}
