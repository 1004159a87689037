package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"buckthornport.example/buckthornport/internal/operator"
)

type explainCommand struct {
	Failover explainFailoverCommand `cmd:"" help:"Tell what led to a change of primary, and what followed."`
	Request  explainRequestCommand  `cmd:"" help:"Tell what became of a request, from nodes' logs."`
	Config   explainConfigCommand   `cmd:"" help:"Tell where and when a configuration came into force, from nodes' logs."`
}

type explainRequestCommand struct {
	ID   string   `arg:"" help:"The caller's name for the request."`
	Logs []string `arg:"" optional:"" type:"path" help:"Log files of any number of nodes; standard input, if none is given."`
}

// Run prints the request's way as sentences.
func (c explainRequestCommand) Run() error {
	return explainLogs(c.Logs, func(rs []operator.Record) []string { return operator.ExplainRequest(rs, c.ID) })
}

type explainConfigCommand struct {
	Version uint64   `arg:"" help:"Version of the configuration."`
	Logs    []string `arg:"" optional:"" type:"path" help:"Log files of any number of nodes; standard input, if none is given."`
}

// Run prints what nodes say of the version.
func (c explainConfigCommand) Run() error {
	return explainLogs(c.Logs, func(rs []operator.Record) []string { return operator.ExplainConfig(rs, c.Version) })
}

// explainLogs prints sentences about the records in log files, or in standard input.
func explainLogs(files []string, explain func(rs []operator.Record) []string) error {
	in := []io.Reader{os.Stdin}
	if len(files) > 0 {
		in = nil
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		defer func() { _ = f.Close() }()
		in = append(in, f, strings.NewReader("\n"))
	}
	rs, err := operator.ReadLogs(io.MultiReader(in...))
	if err != nil {
		return trace.Wrap(err)
	}
	for _, s := range explain(rs) {
		fmt.Println(s)
	}
	return nil
}

type explainFailoverCommand struct {
	Group    string   `arg:"" help:"Database."`
	Term     uint64   `arg:"" optional:"" help:"Term that the failover led to; the latest, if not given."`
	Platform string   `help:"Read the objects that all nodes wrote, at IP:PORT."`
	Status   []string `help:"Read the latest records of nodes at these status addresses."`
	Logs     []string `type:"path" help:"Read log files of nodes instead; - stands for standard input."`
}

// Run prints the records around the failover as sentences.
func (c explainFailoverCommand) Run(env *environment) error {
	if len(c.Logs) > 0 {
		files := slices.DeleteFunc(slices.Clone(c.Logs), func(f string) bool { return filepath.Base(f) == "-" })
		return explainLogs(files, func(rs []operator.Record) []string { return operator.ExplainFailover(rs, c.Group) })
	}
	a := auditCommand{Platform: c.Platform, Status: c.Status, Since: 365 * 24 * time.Hour, Group: c.Group}
	rs, err := a.collect(env.ctx)
	if err != nil {
		return err
	}
	term := c.Term
	if term == 0 {
		for _, r := range rs {
			term = max(term, r.Term)
		}
	}
	told := 0
	for _, r := range rs {
		before := r.Kind == operator.KindSuspicion && r.Term+1 == term
		if before || r.Term == term {
			fmt.Println(r.Sentence())
			told++
		}
	}
	if told == 0 {
		return trace.NotFound("nothing is recorded about term %d of %s", term, c.Group)
	}
	return nil
}
