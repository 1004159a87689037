package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
)

const (
	// readOwnWriteInterval selects the tagged writes that are read back in their session: those whose request number is a multiple
	// of it.
	readOwnWriteInterval = 10
	// tagReadAttempts and tagReadRetryDelay limit the attempts to read a table after the run.
	tagReadAttempts   = 40
	tagReadRetryDelay = time.Second
	connectTimeout    = 10 * time.Second
	// queueCapacity is the number of due requests per stream that can wait for a connection.
	queueCapacity = 1 << 17
)

// Target is the deployment that receives the load. Proxies are the addresses for callers; connections are spread over them.
// Admin is the admin address of the group stand-in, which receives the events and supplies its report. It may be empty.
type Target struct {
	Proxies  []string
	Admin    string
	User     string
	Database string
}

// Runner runs one scenario against one target. acknowledged holds the tags of writes that succeeded, notRun those of writes that
// were refused as not run.
type Runner struct {
	scenario Scenario
	target   Target
	seed     int64
	label    string
	progress func(done, total int)

	start        time.Time
	mu           sync.Mutex
	stats        []*streamStats
	acknowledged map[string]bool
	notRun       map[string]bool
	wrongAnswers WrongAnswers
	done         int
}

// Option configures a Runner.
type Option func(*Runner) error

// WithProgress sets a function that is called after each finished request. It may be called concurrently.
func WithProgress(f func(done, total int)) Option {
	return func(r *Runner) error {
		r.progress = f
		return nil
	}
}

// WithLabel sets the label of the run in its report.
func WithLabel(label string) Option {
	return func(r *Runner) error {
		r.label = label
		return nil
	}
}

// NewRunner returns a runner. The same seed gives the same arrival times.
func NewRunner(s Scenario, t Target, seed int64, opts ...Option) (*Runner, error) {
	r := &Runner{
		scenario: s, target: t, seed: seed, acknowledged: map[string]bool{}, notRun: map[string]bool{},
		progress: func(int, int) {},
	}
	for _, v := range s.Streams {
		r.stats = append(r.stats, newStreamStats(v, s.DurationMS/1000))
	}
	for _, o := range opts {
		if err := o(r); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return r, nil
}

// request is an arrival that waits for a connection. number is unique in the run and becomes part of the tag.
type request struct {
	arrival
	number int
}

// Run creates the tables, sends each request when it is due and compares the answers with the stored rows.
func (r *Runner) Run(ctx context.Context) (Report, error) {
	if err := r.setup(ctx); err != nil {
		return Report{}, trace.Wrap(err)
	}
	all := r.scenario.arrivals(r.seed)
	var wg sync.WaitGroup
	queues := make([]chan request, len(r.scenario.Streams))
	for k := range queues {
		queues[k] = make(chan request, queueCapacity)
		for i := range r.scenario.Callers {
			c := &callerConn{r: r, proxy: r.target.Proxies[i%len(r.target.Proxies)]}
			wg.Go(func() { c.run(ctx, queues[k], len(all)) })
		}
	}
	r.start = time.Now()
	go r.postEvents(ctx)
	r.dispatch(ctx, all, queues)
	for _, q := range queues {
		close(q)
	}
	wg.Wait()
	elapsed := time.Since(r.start).Seconds()
	if err := r.checkWrites(ctx); err != nil {
		return Report{}, trace.Wrap(err)
	}
	return r.report(ctx, elapsed), nil
}

// setup runs the setup statements of the scenario.
func (r *Runner) setup(ctx context.Context) error {
	c := &callerConn{r: r, proxy: r.target.Proxies[0]}
	if err := c.connect(ctx); err != nil {
		return err
	}
	defer c.close(ctx)
	for _, sql := range r.scenario.Setup {
		if _, err := c.conn.Exec(ctx, sql); err != nil {
			return fmt.Errorf("setup statement %q: %w", sql, err)
		}
	}
	return nil
}

// dispatch puts each request into the queue of its stream when it is due, whether or not earlier requests are finished.
func (r *Runner) dispatch(ctx context.Context, all []arrival, queues []chan request) {
	for i, a := range all {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(r.start.Add(a.at))):
		}
		r.mu.Lock()
		r.stats[a.stream].recordArrival(a.at)
		r.mu.Unlock()
		queues[a.stream] <- request{arrival: a, number: i}
	}
}

// postEvents posts the events of the scenario to the group stand-in when they are due. It ignores failed posts.
func (r *Runner) postEvents(ctx context.Context) {
	for _, e := range r.scenario.Events {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(r.start.Add(time.Duration(e.AtMS) * time.Millisecond))):
		}
		if resp, err := http.Post("http://"+r.target.Admin+e.Path, "", nil); err == nil {
			_ = resp.Body.Close()
		}
	}
}

// callerConn is the connection of one caller to a proxy. conn is nil while it is not connected.
type callerConn struct {
	r     *Runner
	proxy string
	conn  *pgx.Conn
}

func (c *callerConn) connect(ctx context.Context) error {
	host, port, err := net.SplitHostPort(c.proxy)
	if err != nil {
		return err
	}
	ctx, stop := context.WithTimeout(ctx, connectTimeout)
	defer stop()
	c.conn, err = pgx.Connect(ctx, fmt.Sprintf("host=%s port=%s user=%s dbname=%s sslmode=disable", host, port,
		c.r.target.User, c.r.target.Database))
	return err
}

func (c *callerConn) close(ctx context.Context) {
	if c.conn != nil {
		_ = c.conn.Close(ctx)
		c.conn = nil
	}
}

// run sends the requests from a queue until it is closed.
func (c *callerConn) run(ctx context.Context, requests <-chan request, total int) {
	defer c.close(ctx)
	_ = c.connect(ctx)
	for q := range requests {
		if ctx.Err() != nil {
			return
		}
		c.send(ctx, q)
		c.r.mu.Lock()
		c.r.done++
		done := c.r.done
		c.r.mu.Unlock()
		c.r.progress(done, total)
	}
}

// send sends one request and records its result. The latency counts from the time at which the request was due, so it includes
// the wait for a free connection.
func (c *callerConn) send(ctx context.Context, q request) {
	s := c.r.scenario.Streams[q.stream]
	if c.conn == nil || c.conn.IsClosed() {
		if err := c.connect(ctx); err != nil {
			c.conn = nil
			c.r.recordFailure(q, "", err)
			return
		}
	}
	time.Sleep(time.Duration(c.r.scenario.CallerDelayMS) * time.Millisecond)
	var args []any
	tag := ""
	if s.Tagged {
		tag = fmt.Sprintf("%s-%d-%d", s.Name, c.r.seed, q.number)
		args = append(args, tag)
	}
	_, err := c.conn.Exec(ctx, s.SQL, args...)
	time.Sleep(time.Duration(c.r.scenario.CallerDelayMS) * time.Millisecond)
	if err != nil {
		c.r.recordFailure(q, tag, err)
		return
	}
	c.r.recordAnswer(q, tag)
	if s.Tagged && q.number%readOwnWriteInterval == 0 {
		c.readOwnWrite(ctx, tableOf(s.SQL), tag)
	}
}

// readOwnWrite reads a row in the session that wrote it, and counts a missed write if the row is not there exactly once.
func (c *callerConn) readOwnWrite(ctx context.Context, table, tag string) {
	var n int
	if err := c.conn.QueryRow(ctx, fmt.Sprintf("select count(*) from %s where tag = $1", table), tag).Scan(&n); err == nil && n != 1 {
		c.r.mu.Lock()
		c.r.wrongAnswers.MissedOwnWrites++
		c.r.mu.Unlock()
	}
}

// tableOf returns the table of an INSERT INTO statement, or "".
func tableOf(sql string) string {
	words := strings.FieldsFunc(sql, func(x rune) bool { return x == ' ' || x == '(' })
	for i, w := range words {
		if strings.EqualFold(w, "into") && i+1 < len(words) {
			return words[i+1]
		}
	}
	return ""
}

// recordAnswer records a successful request. tag is empty if the request has none.
func (r *Runner) recordAnswer(q request, tag string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats[q.stream].recordAnswer(q.at, time.Since(r.start)-q.at)
	if tag != "" {
		r.acknowledged[tag] = true
	}
}

// recordFailure records a failed request. Only an error whose message begins with "not run" guarantees that a write did not run.
func (r *Runner) recordFailure(q request, tag string, err error) {
	code := "connection"
	var pe *pgconn.PgError
	notRun := false
	if errors.As(err, &pe) {
		code = pe.Code
		notRun = strings.HasPrefix(pe.Message, "not run")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats[q.stream].recordRefusal(code, time.Since(r.start)-q.at)
	if tag != "" && notRun {
		r.notRun[tag] = true
	}
}

// checkWrites compares the answers to tagged writes with the tags in the tables, and counts wrong answers.
func (r *Runner) checkWrites(ctx context.Context) error {
	c := &callerConn{r: r, proxy: r.target.Proxies[0]}
	if err := c.connect(ctx); err != nil {
		return err
	}
	defer c.close(ctx)
	stored := map[string]int{}
	for _, s := range r.scenario.Streams {
		if !s.Tagged {
			continue
		}
		tags, err := c.readTags(ctx, tableOf(s.SQL))
		if err != nil {
			return err
		}
		for _, t := range tags {
			stored[t]++
		}
	}
	for t := range r.acknowledged {
		if stored[t] == 0 {
			r.wrongAnswers.LostWrites++
		}
	}
	for t, n := range stored {
		if n > 1 {
			r.wrongAnswers.DuplicateWrites++
		}
		if r.notRun[t] {
			r.wrongAnswers.FalseRefusals++
		}
	}
	return nil
}

// readTags returns all tags in a table. It retries, because the server may still be busy with requests of the run.
func (c *callerConn) readTags(ctx context.Context, table string) ([]string, error) {
	var err error
	for range tagReadAttempts {
		var rows pgx.Rows
		if rows, err = c.conn.Query(ctx, "select tag from "+table); err == nil {
			var tags []string
			if tags, err = pgx.CollectRows(rows, pgx.RowTo[string]); err == nil {
				return tags, nil
			}
		}
		time.Sleep(tagReadRetryDelay)
	}
	return nil, err
}

// report returns the results of the run, with the report of the group stand-in if it can be fetched.
func (r *Runner) report(ctx context.Context, seconds float64) Report {
	out := Report{Scenario: r.scenario.Name, Label: r.label, Seed: r.seed, ElapsedSeconds: seconds, WrongAnswers: r.wrongAnswers}
	for _, t := range r.stats {
		out.Streams = append(out.Streams, t.summarize())
	}
	if r.target.Admin == "" {
		return out
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.target.Admin+"/report", nil)
	if err != nil {
		return out
	}
	if resp, err := http.DefaultClient.Do(req); err == nil {
		body, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if json.Valid(body) {
			out.Servers = body
		}
	}
	return out
}
