package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/gravitational/trace"
	"github.com/schollz/progressbar/v3"

	"buckthornport.example/buckthornport/internal/load"
)

type loadCommand struct {
	Scenario string   `help:"Name of a built-in scenario, or a scenario file." default:"calm"`
	Proxies  []string `help:"Addresses of the proxies for callers." default:"127.0.0.1:6432,127.0.0.1:6433"`
	Admin    string   `help:"Admin address of the group stand-in, for faults and its report; may be empty." default:"127.0.0.1:7010"`
	User     string   `help:"User to connect as." default:"demo"`
	Database string   `help:"Database to connect to." default:"ledger"`
	Seed     int64    `help:"Seed of the random arrival times." default:"1"`
	Label    string   `help:"Label of the run in its report." default:""`
	Out      string   `help:"Directory for report.json and report.html." type:"path"`
	Compare  []string `help:"Print the reports in these directories side by side instead of running." type:"path"`
	List     bool     `help:"List the built-in scenarios."`
}

// Run runs a scenario and prints its report. It returns an error if there were wrong answers.
func (c loadCommand) Run(env *environment) error {
	switch {
	case c.List:
		fmt.Println(strings.Join(load.BuiltinNames(), "\n"))
		return nil
	case len(c.Compare) > 0:
		return c.compare()
	}
	s, err := c.scenario()
	if err != nil {
		return err
	}
	bar := progressbar.NewOptions(-1, progressbar.OptionSetWriter(os.Stderr), progressbar.OptionThrottle(progressInterval),
		progressbar.OptionSetDescription(s.Name), progressbar.OptionShowCount())
	r, err := load.NewRunner(s, load.Target{Proxies: c.Proxies, Admin: c.Admin, User: c.User, Database: c.Database}, c.Seed,
		load.WithLabel(c.Label), load.WithProgress(func(done, _ int) { _ = bar.Set(done) }))
	if err != nil {
		return trace.Wrap(err)
	}
	report, err := r.Run(env.ctx)
	_ = bar.Finish()
	if err != nil {
		return trace.Wrap(err)
	}
	if c.Out != "" {
		if err := report.Write(c.Out); err != nil {
			return trace.Wrap(err)
		}
	}
	if err := load.PrintReports(os.Stdout, report); err != nil {
		return trace.Wrap(err)
	}
	if report.WrongAnswers != (load.WrongAnswers{}) {
		w := report.WrongAnswers
		return fmt.Errorf("wrong answers: {Lost:%d Doubled:%d Ghosts:%d Stale:%d}", w.LostWrites, w.DuplicateWrites, w.FalseRefusals,
			w.MissedOwnWrites)
	}
	return nil
}

func (c loadCommand) scenario() (load.Scenario, error) {
	if b, ok := load.Builtin(c.Scenario); ok {
		return load.ParseScenario(c.Scenario, b)
	}
	b, err := os.ReadFile(c.Scenario)
	if err != nil {
		return load.Scenario{}, trace.ConvertSystemError(err)
	}
	return load.ParseScenario(c.Scenario, b)
}

func (c loadCommand) compare() error {
	var rs []load.Report
	for _, d := range c.Compare {
		r, err := load.ReadReport(d)
		if err != nil {
			return trace.Wrap(err)
		}
		rs = append(rs, r)
	}
	return load.PrintReports(os.Stdout, rs...)
}
