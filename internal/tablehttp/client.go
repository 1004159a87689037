package tablehttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/gravitational/trace"
)

const (
	callTimeout  = 5 * time.Second
	maxBodyBytes = 64 << 20
)

// Row is a row of the table service. Its version is zero if the row does not exist.
type Row struct {
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// VM is one VM in the platform's list.
type VM struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	State   string `json:"state"`
}

// Client sends requests to the platform at one address.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the platform at an address IP:PORT.
func New(address string) *Client {
	return &Client{base: "http://" + address, http: &http.Client{Timeout: callTimeout}}
}

// Get returns the row with the given key.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	var r Row
	body, err := c.call(ctx, http.MethodGet, "/tables/"+key, nil)
	if err != nil {
		return r, err
	}
	return r, trace.Wrap(json.Unmarshal(body, &r))
}

// CompareAndSet replaces a row if its version is still expect, and returns the new row. If the row has another version, the
// error satisfies trace.IsCompareFailed and the returned row is the current one.
func (c *Client) CompareAndSet(ctx context.Context, key string, expect uint64, value any) (Row, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return Row{}, trace.Wrap(err)
	}
	put, err := json.Marshal(map[string]any{"expect": expect, "value": json.RawMessage(raw)})
	if err != nil {
		return Row{}, trace.Wrap(err)
	}
	body, callErr := c.call(ctx, http.MethodPut, "/tables/"+key, put)
	if callErr != nil && !trace.IsCompareFailed(callErr) {
		return Row{}, callErr
	}
	var r Row
	if err := json.Unmarshal(body, &r); err != nil {
		return Row{}, trace.Wrap(err)
	}
	return r, callErr
}

// PutObject writes an object. It is idempotent.
func (c *Client) PutObject(ctx context.Context, name string, body []byte) error {
	_, err := c.call(ctx, http.MethodPut, "/objects/"+name, body)
	return err
}

// Object returns the bytes of an object. If the object does not exist, the error satisfies trace.IsNotFound.
func (c *Client) Object(ctx context.Context, name string) ([]byte, error) {
	return c.call(ctx, http.MethodGet, "/objects/"+name, nil)
}

// Objects returns the names of the objects that begin with a prefix, in order.
func (c *Client) Objects(ctx context.Context, prefix string) ([]string, error) {
	body, err := c.call(ctx, http.MethodGet, "/objects?prefix="+url.QueryEscape(prefix), nil)
	if err != nil {
		return nil, err
	}
	var names []string
	return names, trace.Wrap(json.Unmarshal(body, &names))
}

// VMs returns the platform's list of VMs, which may be out of date.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	body, err := c.call(ctx, http.MethodGet, "/vms", nil)
	if err != nil {
		return nil, err
	}
	var vs []VM
	return vs, trace.Wrap(json.Unmarshal(body, &vs))
}

// call sends a request and returns the body of the response. The body is also returned with the error for status 409.
func (c *Client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "platform: no response to %s %s", method, path)
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if err != nil {
		return nil, trace.ConnectionProblem(err, "platform: incomplete response to %s %s", method, path)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return got, nil
	case http.StatusConflict:
		return got, trace.CompareFailed("platform: %s: the row has another version than expected", path)
	case http.StatusNotFound:
		return nil, trace.NotFound("platform: %s does not exist", path)
	default:
		return nil, trace.ConnectionProblem(nil, "platform: unexpected HTTP status %s", fmt.Sprint(resp.StatusCode))
	}
}
