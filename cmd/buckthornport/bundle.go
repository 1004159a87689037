package main

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"buckthornport.example/buckthornport/internal/proxy"
	"buckthornport.example/buckthornport/internal/tablehttp"
	"buckthornport.example/buckthornport/pkg/bundle"
)

const (
	// storeTimeout limits a command's calls to the platform or to a node.
	storeTimeout = 10 * time.Second
	// rollCheckAttempts is how often a roll reads the pointer row after its update failed, at rollCheckInterval.
	rollCheckAttempts = 8
	rollCheckInterval = 500 * time.Millisecond
)

type bundleCommand struct {
	Init    bundleInitCommand    `cmd:"" help:"Print an example bundle to start from."`
	Key     bundleKeyCommand     `cmd:"" help:"Generate a key for signing bundles."`
	Check   bundleCheckCommand   `cmd:"" help:"Report all mistakes in a bundle."`
	Diff    bundleDiffCommand    `cmd:"" help:"Describe the differences between two bundles in sentences."`
	Sign    bundleSignCommand    `cmd:"" help:"Sign a bundle."`
	Roll    bundleRollCommand    `cmd:"" help:"Roll out a signed bundle."`
	Show    bundleShowCommand    `cmd:"" help:"Print the active bundle."`
	History bundleHistoryCommand `cmd:"" help:"List the stored bundles and mark the active one."`
}

type bundleInitCommand struct {
	Example string `enum:"mvule,market" default:"mvule" help:"Name of the example: mvule or market."`
}

// Run prints the example bundle.
func (c bundleInitCommand) Run() error {
	_, err := os.Stdout.Write(bundle.Example(c.Example))
	return err
}

type bundleKeyCommand struct {
	Name string `arg:"" help:"Name of the key's owner."`
	Out  string `required:"" type:"path" help:"File for the private key."`
}

// Run writes a new private key to a file and prints the entry for the bundle's keys.
func (c bundleKeyCommand) Run() error {
	_, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return trace.Wrap(err)
	}
	const ownerOnly = 0o600
	if err := os.WriteFile(c.Out, []byte(base64.StdEncoding.EncodeToString(private.Seed())+"\n"), ownerOnly); err != nil {
		return trace.ConvertSystemError(err)
	}
	_, err = fmt.Printf("{\"name\": %q, \"public\": %q}\n", c.Name, encodePublicKey(private))
	return err
}

type bundleCheckCommand struct {
	File string `arg:"" type:"path" help:"Bundle file."`
}

// Run checks the bundle file and returns all mistakes.
func (c bundleCheckCommand) Run() error {
	return settingsCheckCommand{File: c.File, Kind: "bundle"}.Run()
}

type bundleDiffCommand struct {
	Before string `arg:"" type:"path" help:"File of the old bundle."`
	After  string `arg:"" type:"path" help:"File of the new bundle."`
}

// Run prints one sentence per change.
func (c bundleDiffCommand) Run() error {
	before, err := readBundle(c.Before)
	if err != nil {
		return err
	}
	after, err := readBundle(c.After)
	if err != nil {
		return err
	}
	for _, s := range bundle.Diff(before, after) {
		fmt.Println(s)
	}
	return nil
}

type bundleSignCommand struct {
	File string `arg:"" type:"path" help:"Bundle file, with or without signatures."`
	Name string `required:"" help:"Name of the signing key in the bundle."`
	Key  string `required:"" type:"path" help:"File with the private key."`
	Out  string `required:"" type:"path" help:"File for the signed bundle."`
}

// Run adds a signature and writes the signed bundle.
func (c bundleSignCommand) Run() error {
	s, err := readSigned(c.File)
	if err != nil {
		return err
	}
	key, err := readKey(c.Key)
	if err != nil {
		return err
	}
	out, err := s.WithSignature(c.Name, key).Encode()
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(os.WriteFile(c.Out, out, 0o644))
}

func readKey(file string) (ed25519.PrivateKey, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	seed, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(text)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, trace.BadParameter("%s is not a private key file; want an ed25519 seed of 32 bytes in base64", file)
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

// encodePublicKey returns the public half of a key in base64.
func encodePublicKey(key ed25519.PrivateKey) string {
	return base64.StdEncoding.EncodeToString(key.Public().(ed25519.PublicKey))
}

// readSigned reads a signed bundle. It also accepts an unsigned bundle and returns it without signatures.
func readSigned(file string) (bundle.Signed, error) {
	source, err := os.ReadFile(file)
	if err != nil {
		return bundle.Signed{}, trace.ConvertSystemError(err)
	}
	var s bundle.Signed
	if err := json.Unmarshal(source, &s); err == nil && len(s.Body) > 0 {
		return s, nil
	}
	b, err := bundle.Parse(file, source)
	if err != nil {
		return bundle.Signed{}, err
	}
	return bundle.NewSigned(b)
}

// storeFlags are the flags of commands that read or write a deployment's rows and objects on the platform.
type storeFlags struct {
	Platform   string `required:"" help:"Address of the platform's services, IP:PORT."`
	Deployment string `required:"" help:"Name of the deployment."`
}

// readPointer returns the pointer row of the deployment and its value. The row's version is 0 if there is none.
func (f storeFlags) readPointer(ctx context.Context, c *tablehttp.Client) (tablehttp.Row, proxy.BundlePointer, error) {
	row, err := c.Get(ctx, proxy.BundlePointerKey(f.Deployment))
	var p proxy.BundlePointer
	if err != nil || row.Version == 0 {
		return row, p, err
	}
	return row, p, trace.Wrap(json.Unmarshal(row.Value, &p))
}

// activeBundle returns the pointer row and the bundle that it names. The bundle is empty if there is no row.
func (f storeFlags) activeBundle(
	ctx context.Context, c *tablehttp.Client,
) (tablehttp.Row, proxy.BundlePointer, bundle.Bundle, error) {
	row, p, err := f.readPointer(ctx, c)
	if err != nil || row.Version == 0 {
		return row, p, bundle.Bundle{}, err
	}
	body, err := c.Object(ctx, p.Object)
	if err != nil {
		return row, p, bundle.Bundle{}, err
	}
	s, err := bundle.DecodeSigned(body)
	if err != nil {
		return row, p, bundle.Bundle{}, err
	}
	b, err := s.Bundle()
	return row, p, b, err
}

type bundleRollCommand struct {
	storeFlags
	File   string `arg:"" type:"path" help:"Signed bundle."`
	Expect int64  `default:"-1" help:"Fail unless this version is active; -1 allows any."`
	By     string `default:"" help:"Name of the operator, which is stored with the roll."`
}

// Run rolls out the bundle. Of two concurrent rolls one succeeds; the other fails with the version and operator of the first.
func (c bundleRollCommand) Run(env *environment) error {
	ctx, stop := context.WithTimeout(env.ctx, storeTimeout)
	defer stop()
	client := tablehttp.New(c.Platform)
	s, err := readSigned(c.File)
	if err != nil {
		return err
	}
	row, p, current, err := c.activeBundle(ctx, client)
	if err != nil {
		return err
	}
	if c.Expect >= 0 && p.Version != uint64(c.Expect) {
		return trace.CompareFailed("version %d is active, want %d: it was rolled by %q", p.Version, c.Expect, p.By)
	}
	b, err := bundle.Accept(current, s)
	if err != nil {
		return err
	}
	return c.roll(ctx, client, row.Version, b.Version, s)
}

// roll stores the bundle as an object, then sets the pointer row to it if the row still has version rowVersion.
func (c bundleRollCommand) roll(ctx context.Context, client *tablehttp.Client, rowVersion, version uint64, s bundle.Signed) error {
	body, err := s.Encode()
	if err != nil {
		return trace.Wrap(err)
	}
	var op [8]byte
	if _, err := rand.Read(op[:]); err != nil {
		return trace.Wrap(err)
	}
	next := proxy.BundlePointer{
		Version: version, Operation: hex.EncodeToString(op[:]), By: c.By,
		Object: fmt.Sprintf("bundles/%s/%016d-%016x", c.Deployment, version, xxhash.Sum64(body)),
	}
	if err := client.PutObject(ctx, next.Object, body); err != nil {
		return err
	}
	_, err = client.CompareAndSet(ctx, proxy.BundlePointerKey(c.Deployment), rowVersion, next)
	if err == nil {
		fmt.Printf("version %d is accepted\n", version)
		return nil
	}
	return c.resolveRoll(ctx, client, next, err)
}

// resolveRoll reads the pointer row after its update failed with cause. The update may have taken effect although its answer was
// lost, so the operation ID in the row decides whether this roll succeeded.
func (c bundleRollCommand) resolveRoll(ctx context.Context, client *tablehttp.Client, mine proxy.BundlePointer, cause error) error {
	for range rollCheckAttempts {
		_, p, err := c.readPointer(ctx, client)
		switch {
		case err == nil && p.Operation == mine.Operation:
			fmt.Printf("version %d is accepted (the answer was lost, but the pointer row confirms it)\n", mine.Version)
			return nil
		case err == nil && p.Version >= mine.Version:
			return trace.CompareFailed("a concurrent roll won: version %d is active, rolled by %q", p.Version, p.By)
		case err == nil && !trace.IsCompareFailed(cause):
			return trace.ConnectionProblem(cause, "version %d is still active; version %d did not take effect, roll it again",
				p.Version, mine.Version)
		}
		select {
		case <-ctx.Done():
			return errors.Join(cause, ctx.Err())
		case <-time.After(rollCheckInterval):
		}
	}
	return trace.ConnectionProblem(cause, "cannot tell whether version %d was accepted; check with: buckthornport bundle show",
		mine.Version)
}

type bundleShowCommand struct {
	storeFlags
}

// Run prints the active bundle.
func (c bundleShowCommand) Run(env *environment) error {
	ctx, stop := context.WithTimeout(env.ctx, storeTimeout)
	defer stop()
	_, p, b, err := c.activeBundle(ctx, tablehttp.New(c.Platform))
	if err != nil {
		return err
	}
	if p.Version == 0 {
		return trace.NotFound("no bundle has been rolled out for deployment %q", c.Deployment)
	}
	out, err := json.MarshalIndent(b, "", "  ")
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = fmt.Printf("// rolled by %q, operation %s\n%s\n", p.By, p.Operation, out)
	return err
}

type bundleHistoryCommand struct {
	storeFlags
}

// Run prints the name of every stored bundle, with a * before the active one.
func (c bundleHistoryCommand) Run(env *environment) error {
	ctx, stop := context.WithTimeout(env.ctx, storeTimeout)
	defer stop()
	client := tablehttp.New(c.Platform)
	_, p, err := c.readPointer(ctx, client)
	if err != nil {
		return err
	}
	names, err := client.Objects(ctx, "bundles/"+c.Deployment+"/")
	if err != nil {
		return err
	}
	for _, n := range names {
		mark := " "
		if n == p.Object {
			mark = "*"
		}
		fmt.Printf("%s %s\n", mark, n)
	}
	return nil
}
