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
	Failover explainFailoverCommand `cmd:"" help:"Explain why the primary of a group changed and what followed."`
	Request  explainRequestCommand  `cmd:"" help:"Explain what happened to a request, from nodes' logs."`
	Config   explainConfigCommand   `cmd:"" help:"Explain on which nodes and when a configuration took effect, from nodes' logs."`
}

type explainRequestCommand struct {
	ID   string   `arg:"" help:"Name of the request, as the caller sent it."`
	Logs []string `arg:"" optional:"" type:"path" help:"Log files of any number of nodes; standard input, if none is given."`
}

// Run prints the log records of the request as sentences.
func (c explainRequestCommand) Run() error {
	return explainLogs(c.Logs, func(rs []operator.Record) []string { return operator.ExplainRequest(rs, c.ID) })
}

type explainConfigCommand struct {
	Version uint64   `arg:"" help:"Version of the configuration."`
	Logs    []string `arg:"" optional:"" type:"path" help:"Log files of any number of nodes; standard input, if none is given."`
}

// Run prints the log records about the configuration version as sentences.
func (c explainConfigCommand) Run() error {
	return explainLogs(c.Logs, func(rs []operator.Record) []string { return operator.ExplainConfig(rs, c.Version) })
}

// explainLogs reads records from log files, or from standard input if there are none, and prints the sentences of explain.
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
	Group    string   `arg:"" help:"Database group."`
	Term     uint64   `arg:"" optional:"" help:"Term that the failover led to. If not given: the latest, or all of them with --logs."`
	Platform string   `help:"Read the audit objects of all nodes from the platform at IP:PORT."`
	Status   []string `help:"Read the latest records of the nodes with these status addresses."`
	Logs     []string `type:"path" help:"Read log files of nodes instead; - stands for standard input."`
}

// Run prints the records of the failover's term, and the suspicions that preceded it, as sentences.
func (c explainFailoverCommand) Run(env *environment) error {
	if len(c.Logs) > 0 {
		files := slices.DeleteFunc(slices.Clone(c.Logs), func(f string) bool { return filepath.Base(f) == "-" })
		return explainLogs(files, func(rs []operator.Record) []string { return operator.ExplainFailover(rs, c.Group, c.Term) })
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
	printed := 0
	for _, r := range rs {
		if r.PartOfFailover(term) {
			fmt.Println(r.Sentence())
			printed++
		}
	}
	if printed == 0 {
		return trace.NotFound("no audit records about term %d of group %s", term, c.Group)
	}
	return nil
}
