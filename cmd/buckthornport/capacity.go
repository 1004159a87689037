package main

import (
	"fmt"
	"os"

	"github.com/gravitational/trace"

	"buckthornport.example/buckthornport/internal/operator"
)

type capacityCommand struct {
	DataFile string `arg:"" name:"slopes" type:"path" help:"File with the measured data series, JSON."`
}

// Run prints the tables of docs/CAPACITY.md.
func (c capacityCommand) Run() error {
	body, err := os.ReadFile(c.DataFile)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	s, err := operator.ParseCapacityData(body)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = fmt.Print(s.CapacityTable())
	return err
}
