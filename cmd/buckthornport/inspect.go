package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5"

	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/internal/pgwire"
	"buckthornport.example/buckthornport/internal/proxy"
	"buckthornport.example/buckthornport/internal/tablehttp"
	"buckthornport.example/buckthornport/internal/traffic"
	"buckthornport.example/buckthornport/internal/upstream"
)

// followInterval is the time between reads of the audit trail with --follow.
const followInterval = time.Second

type auditCommand struct {
	Platform string        `help:"Read the audit objects of all nodes from the platform at IP:PORT."`
	Status   []string      `help:"Read the latest records of the nodes with these status addresses."`
	Since    time.Duration `default:"24h" help:"Maximum age of the records."`
	Group    string        `help:"Only records of this database group."`
	Kind     string        `help:"Only records of this kind."`
	Plain    bool          `help:"Print sentences instead of JSON lines."`
	Follow   bool          `help:"Print new records until interrupted."`
}

// Run prints the audit records in order of time. With --follow it prints each new record once.
func (c auditCommand) Run(env *environment) error {
	seen := map[string]bool{}
	for {
		rs, err := c.collect(env.ctx)
		if err != nil {
			return err
		}
		for _, r := range rs {
			id := fmt.Sprintf("%s/%s/%d", r.Node, r.Time, r.Seq)
			if seen[id] {
				continue
			}
			seen[id] = true
			if err := c.print(r); err != nil {
				return err
			}
		}
		if !c.Follow {
			return nil
		}
		select {
		case <-env.ctx.Done():
			return nil
		case <-time.After(followInterval):
		}
	}
}

func (c auditCommand) print(r operator.Record) error {
	if c.Plain {
		_, err := fmt.Println(r.Sentence())
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(r)
}

// collect returns the records that match the flags, in order of time.
func (c auditCommand) collect(ctx context.Context) ([]operator.Record, error) {
	var all []operator.Record
	if c.Platform != "" {
		rs, err := readStoreRecords(ctx, tablehttp.New(c.Platform))
		if err != nil {
			return nil, err
		}
		all = append(all, rs...)
	}
	for _, a := range c.Status {
		body, err := fetch(ctx, a, "/audit")
		if err != nil {
			return nil, err
		}
		rs, err := decodeRecords(body)
		if err != nil {
			return nil, err
		}
		all = append(all, rs...)
	}
	all = slices.DeleteFunc(all, func(r operator.Record) bool {
		return !r.Time.IsZero() && time.Since(r.Time) > c.Since || c.Group != "" && r.Group != c.Group ||
			c.Kind != "" && string(r.Kind) != c.Kind
	})
	slices.SortStableFunc(all, func(a, b operator.Record) int { return a.Time.Compare(b.Time) })
	return all, nil
}

// readStoreRecords returns the records in all audit objects on the platform.
func readStoreRecords(ctx context.Context, client *tablehttp.Client) ([]operator.Record, error) {
	names, err := client.Objects(ctx, "audit/")
	if err != nil {
		return nil, err
	}
	var all []operator.Record
	for _, n := range names {
		body, err := client.Object(ctx, n)
		if err != nil {
			return nil, err
		}
		rs, err := decodeRecords(body)
		if err != nil {
			return nil, err
		}
		all = append(all, rs...)
	}
	return all, nil
}

// decodeRecords decodes one JSON record per line.
func decodeRecords(body []byte) ([]operator.Record, error) {
	var rs []operator.Record
	lines := bufio.NewScanner(bytes.NewReader(body))
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var r operator.Record
		if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
			return nil, trace.Wrap(err)
		}
		rs = append(rs, r)
	}
	return rs, lines.Err()
}

// fetch returns the body of an HTTP GET from a node or a stand-in.
func fetch(ctx context.Context, address, path string) ([]byte, error) {
	ctx, stop := context.WithTimeout(ctx, storeTimeout)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "no HTTP response from %s", address)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		return nil, trace.BadParameter("%s answers: %s", address, strings.TrimSpace(string(body)))
	}
	return body, err
}

type statusCommand struct {
	Nodes []string `arg:"" help:"Status addresses of the nodes."`
}

// Run prints a table with one line per node and database.
func (c statusCommand) Run(env *environment) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "node\tzone\tbundle\tcallers\tdatabase\tprimary\tterm\trequests\ton replicas\trefused\tunknown\tslots used")
	for _, a := range c.Nodes {
		body, err := fetch(env.ctx, a, "/status")
		if err != nil {
			_, _ = fmt.Fprintf(w, "%s\tno answer: %v\n", a, err)
			continue
		}
		var s proxy.Status
		if err := json.Unmarshal(body, &s); err != nil {
			return trace.Wrap(err)
		}
		for _, l := range s.Lanes {
			printLane(w, s, l)
		}
	}
	return w.Flush()
}

type outcomeCommand struct {
	Key      string `arg:"" help:"Idempotency key."`
	Database string `required:"" help:"Database that the request was sent to."`
	Proxy    string `required:"" help:"Address of any proxy for callers, IP:PORT."`
	User     string `required:"" help:"User to connect as."`
}

// Run reads the outcome of the key from the current primary. If there is none, it writes a tombstone first, so that the request
// cannot run later.
func (c outcomeCommand) Run(env *environment) error {
	host, port, ok := strings.Cut(c.Proxy, ":")
	if !ok {
		return trace.BadParameter("proxy address %q is not IP:PORT", c.Proxy)
	}
	ctx, stop := context.WithTimeout(env.ctx, storeTimeout)
	defer stop()
	conn, err := pgx.Connect(ctx, fmt.Sprintf("host=%s port=%s user=%s dbname=%s sslmode=prefer", host, port, c.User, c.Database))
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = conn.Close(ctx) }()
	insert := fmt.Sprintf("INSERT INTO %s (key, outcome) VALUES ($1, $2) ON CONFLICT DO NOTHING", pgwire.OutcomeTable)
	if _, err := conn.Exec(ctx, insert, c.Key, pgwire.Tombstone); err != nil {
		return trace.Wrap(err)
	}
	var outcome string
	query := fmt.Sprintf("SELECT outcome FROM %s WHERE key = $1", pgwire.OutcomeTable)
	if err := conn.QueryRow(ctx, query, c.Key).Scan(&outcome); err != nil {
		return trace.Wrap(err)
	}
	if outcome == pgwire.Tombstone {
		fmt.Printf("%s: the request did not run and cannot run later\n", c.Key)
		return nil
	}
	fmt.Printf("%s: the request ran; its outcome is %q\n", c.Key, outcome)
	return nil
}

// printLane prints the table line of one database on a node.
func printLane(w io.Writer, s proxy.Status, l traffic.Snapshot) {
	primary, term, used := "none", uint64(0), []string{}
	for _, v := range l.Servers {
		used = append(used, fmt.Sprintf("%d/%d", v.Running, v.Slots))
		if v.Role == string(upstream.RolePrimary) && v.Term >= term {
			primary, term = v.Name, v.Term
		}
	}
	share := "-"
	if l.Stats.EligibleReads > 0 {
		share = fmt.Sprintf("%d%%", 100*l.Stats.ReplicaReads/l.Stats.EligibleReads)
	}
	_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%s\t%d\t%d\t%s\t%d\t%d\t%s\n", s.Node, s.Zone, s.BundleVersion, s.Callers,
		l.Database, primary, term, l.Stats.Requests, share, l.Stats.Refused, l.Stats.Unknown, strings.Join(used, " "))
}
