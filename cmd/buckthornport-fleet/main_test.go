package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// runAsProgramEnv is the environment variable that makes the test binary run the program.
const runAsProgramEnv = "BUCKTHORNPORT_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runAsProgramEnv) == "1" {
		main()
		return
	}
	os.Exit(m.Run())
}

const validSettings = `{"node": "n", "zone": "a", "listen": "127.0.0.1:1", "ready": "127.0.0.1:2", "peer": "127.0.0.1:3",
"store": "127.0.0.1:4"}`

// startCheck starts the program with --check on a named pipe. It returns once the program waits for its settings.
func startCheck(c *qt.C) (program *exec.Cmd, pipe *os.File) {
	c.Helper()
	name := filepath.Join(c.TempDir(), "settings.jsonc")
	c.Assert(syscall.Mkfifo(name, 0o600), qt.IsNil)
	program = exec.Command(os.Args[0], "--check", "--settings", name)
	program.Env = append(os.Environ(), runAsProgramEnv+"=1")
	c.Assert(program.Start(), qt.IsNil)
	pipe, err := os.OpenFile(name, os.O_WRONLY, 0)
	c.Assert(err, qt.IsNil)
	return program, pipe
}

// TestReloadSignalAtStart guards against a SIGHUP that ends a process which has not read its settings yet.
func TestReloadSignalAtStart(t *testing.T) {
	c := qt.New(t)
	program, pipe := startCheck(c)
	c.Assert(program.Process.Signal(syscall.SIGHUP), qt.IsNil)
	_, err := pipe.WriteString(validSettings)
	c.Assert(err, qt.IsNil)
	c.Assert(pipe.Close(), qt.IsNil)
	c.Assert(program.Wait(), qt.IsNil)
}

// TestTruncatedSettings checks that a start with settings that are cut in the middle is refused.
func TestTruncatedSettings(t *testing.T) {
	c := qt.New(t)
	program, pipe := startCheck(c)
	_, err := pipe.WriteString(validSettings[:60])
	c.Assert(err, qt.IsNil)
	c.Assert(pipe.Close(), qt.IsNil)
	c.Assert(program.Wait(), qt.IsNotNil)
}
