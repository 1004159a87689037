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
	storeTimeout = 10 * time.Second
	settleTries  = 8
	settlePause  = 500 * time.Millisecond
)

type bundleCommand struct {
	Init    bundleInitCommand    `cmd:"" help:"Write a bundle to start from."`
	Key     bundleKeyCommand     `cmd:"" help:"Make a key for signing off bundles."`
	Check   bundleCheckCommand   `cmd:"" help:"Name every mistake in a bundle."`
	Diff    bundleDiffCommand    `cmd:"" help:"Say in words what a change of bundle does."`
	Sign    bundleSignCommand    `cmd:"" help:"Sign off a bundle."`
	Roll    bundleRollCommand    `cmd:"" help:"Put a signed bundle in force."`
	Show    bundleShowCommand    `cmd:"" help:"Show the bundle in force."`
	History bundleHistoryCommand `cmd:"" help:"List the bundles that were rolled."`
}

type bundleInitCommand struct {
	Example string `enum:"mvule,market" default:"mvule" help:"Which example to start from: mvule or market."`
}

// Run prints the example.
func (c bundleInitCommand) Run() error {
	_, err := os.Stdout.Write(bundle.Example(c.Example))
	return err
}

type bundleKeyCommand struct {
	Name string `arg:"" help:"Whose key it is."`
	Out  string `required:"" type:"path" help:"File for the private key."`
}

// Run writes a private key and prints the line for the bundle.
func (c bundleKeyCommand) Run() error {
	_, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return trace.Wrap(err)
	}
	const ownerOnly = 0o600
	if err := os.WriteFile(c.Out, []byte(base64.StdEncoding.EncodeToString(private.Seed())+"\n"), ownerOnly); err != nil {
		return trace.ConvertSystemError(err)
	}
	_, err = fmt.Printf("{\"name\": %q, \"public\": %q}\n", c.Name, publicText(private))
	return err
}

type bundleCheckCommand struct {
	File string `arg:"" type:"path" help:"Bundle file."`
}

// Run checks the bundle.
func (c bundleCheckCommand) Run() error {
	return settingsCheckCommand{File: c.File, Kind: "bundle"}.Run()
}

type bundleDiffCommand struct {
	Before string `arg:"" type:"path" help:"Bundle file."`
	After  string `arg:"" type:"path" help:"Bundle file."`
}

// Run prints a sentence per change.
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
	File string `arg:"" type:"path" help:"Bundle file, or one that is signed already."`
	Name string `required:"" help:"Name of the key in the bundle."`
	Key  string `required:"" type:"path" help:"File with the private key."`
	Out  string `required:"" type:"path" help:"File for the signed bundle."`
}

// Run adds a sign-off.
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
		return nil, trace.BadParameter("%s holds no private key", file)
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

func publicText(key ed25519.PrivateKey) string {
	return base64.StdEncoding.EncodeToString(key.Public().(ed25519.PublicKey))
}

// readSigned reads a signed bundle, or seals one that is not signed yet.
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
	return bundle.Seal(b)
}

type storeFlags struct {
	Platform   string `required:"" help:"Address of the platform's services, IP:PORT."`
	Deployment string `required:"" help:"Name of the deployment."`
}

func (f storeFlags) pointer(ctx context.Context, c *tablehttp.Client) (tablehttp.Row, proxy.BundlePointer, error) {
	row, err := c.Get(ctx, proxy.BundlePointerKey(f.Deployment))
	var p proxy.BundlePointer
	if err != nil || row.Version == 0 {
		return row, p, err
	}
	return row, p, trace.Wrap(json.Unmarshal(row.Value, &p))
}

// inForce returns the bundle that the pointer names, or none.
func (f storeFlags) inForce(ctx context.Context, c *tablehttp.Client) (tablehttp.Row, proxy.BundlePointer, bundle.Bundle, error) {
	row, p, err := f.pointer(ctx, c)
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
	Expect int64  `default:"-1" help:"Version that must be in force for the roll to go ahead; any, if not given."`
	By     string `default:"" help:"Who rolls, for the history."`
}

// Run rolls the bundle; of two racing rolls one wins, and the other is told which.
func (c bundleRollCommand) Run(env *environment) error {
	ctx, stop := context.WithTimeout(env.ctx, storeTimeout)
	defer stop()
	client := tablehttp.New(c.Platform)
	s, err := readSigned(c.File)
	if err != nil {
		return err
	}
	row, p, current, err := c.inForce(ctx, client)
	if err != nil {
		return err
	}
	if c.Expect >= 0 && p.Version != uint64(c.Expect) {
		return trace.CompareFailed("version %d is in force, not %d: rolled by %q", p.Version, c.Expect, p.By)
	}
	b, err := bundle.Accept(current, s)
	if err != nil {
		return err
	}
	return c.roll(ctx, client, row.Version, b.Version, s)
}

// roll stores the bundle, and then points to it if the pointer is still at the given version of its row.
func (c bundleRollCommand) roll(ctx context.Context, client *tablehttp.Client, at, version uint64, s bundle.Signed) error {
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
	_, err = client.CompareAndSet(ctx, proxy.BundlePointerKey(c.Deployment), at, next)
	if err == nil {
		fmt.Printf("version %d is accepted\n", version)
		return nil
	}
	return c.settle(ctx, client, next, err)
}

// settle reads back who won, since an answer may be lost although the write took effect.
func (c bundleRollCommand) settle(ctx context.Context, client *tablehttp.Client, mine proxy.BundlePointer, cause error) error {
	for range settleTries {
		_, p, err := c.pointer(ctx, client)
		switch {
		case err == nil && p.Operation == mine.Operation:
			fmt.Printf("version %d is accepted (the answer was lost, the row says so)\n", mine.Version)
			return nil
		case err == nil && p.Version >= mine.Version:
			return trace.CompareFailed("the race was lost: version %d is in force, rolled by %q", p.Version, p.By)
		case err == nil && !trace.IsCompareFailed(cause):
			return trace.ConnectionProblem(cause, "version %d is in force, yours did not take effect; roll again", p.Version)
		}
		select {
		case <-ctx.Done():
			return errors.Join(cause, ctx.Err())
		case <-time.After(settlePause):
		}
	}
	return trace.ConnectionProblem(cause, "the platform does not say whether version %d was accepted; ask bundle show", mine.Version)
}

type bundleShowCommand struct {
	storeFlags
}

// Run prints the bundle in force.
func (c bundleShowCommand) Run(env *environment) error {
	ctx, stop := context.WithTimeout(env.ctx, storeTimeout)
	defer stop()
	_, p, b, err := c.inForce(ctx, tablehttp.New(c.Platform))
	if err != nil {
		return err
	}
	if p.Version == 0 {
		return trace.NotFound("no bundle was rolled yet for %q", c.Deployment)
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

// Run lists every bundle that was put into the store, with a mark at the one in force.
func (c bundleHistoryCommand) Run(env *environment) error {
	ctx, stop := context.WithTimeout(env.ctx, storeTimeout)
	defer stop()
	client := tablehttp.New(c.Platform)
	_, p, err := c.pointer(ctx, client)
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
