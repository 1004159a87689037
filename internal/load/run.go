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
	readOwnWriteInterval = 10
	tagReadAttempts      = 40
	tagReadRetryDelay    = time.Second
	connectTimeout       = 10 * time.Second
	queueCapacity        = 1 << 17
)

// Target is where the load goes; Admin is the address of the group stand-in's switches, if events or its report are wanted.
type Target struct {
	Proxies  []string
	Admin    string
	User     string
	Database string
}

// Runner plays one scenario against one target.
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

// Option sets up a Runner.
type Option func(*Runner) error

// WithProgress sets what is called as requests are finished.
func WithProgress(f func(done, total int)) Option {
	return func(r *Runner) error {
		r.progress = f
		return nil
	}
}

// WithLabel names the run in its report.
func WithLabel(label string) Option {
	return func(r *Runner) error {
		r.label = label
		return nil
	}
}

// NewRunner returns a runner; the same seed gives the same arrivals.
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

// request is one request that is due.
type request struct {
	arrival
	number int
}

// Run sets the tables up, sends everything when it is due and checks what was told against what is there.
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

func (r *Runner) setup(ctx context.Context) error {
	c := &callerConn{r: r, proxy: r.target.Proxies[0]}
	if err := c.connect(ctx); err != nil {
		return err
	}
	defer c.close(ctx)
	for _, sql := range r.scenario.Setup {
		if _, err := c.conn.Exec(ctx, sql); err != nil {
			return fmt.Errorf("%s: %w", sql, err)
		}
	}
	return nil
}

// dispatch hands over each request when it is due, however many are still waiting.
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

// postEvents gives the orders of the scenario to the group's stand-in.
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

// callerConn is one caller's connection.
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

func (c *callerConn) run(ctx context.Context, tasks <-chan request, total int) {
	defer c.close(ctx)
	_ = c.connect(ctx)
	for t := range tasks {
		if ctx.Err() != nil {
			return
		}
		c.send(ctx, t)
		c.r.mu.Lock()
		c.r.done++
		done := c.r.done
		c.r.mu.Unlock()
		c.r.progress(done, total)
	}
}

// send sends one request; its latency counts from when it was due, so that waiting for a free connection is part of it.
func (c *callerConn) send(ctx context.Context, t request) {
	s := c.r.scenario.Streams[t.stream]
	if c.conn == nil || c.conn.IsClosed() {
		if err := c.connect(ctx); err != nil {
			c.conn = nil
			c.r.recordFailure(t, "", err)
			return
		}
	}
	time.Sleep(time.Duration(c.r.scenario.CallerDelayMS) * time.Millisecond)
	var args []any
	tag := ""
	if s.Tagged {
		tag = fmt.Sprintf("%s-%d-%d", s.Name, c.r.seed, t.number)
		args = append(args, tag)
	}
	_, err := c.conn.Exec(ctx, s.SQL, args...)
	time.Sleep(time.Duration(c.r.scenario.CallerDelayMS) * time.Millisecond)
	if err != nil {
		c.r.recordFailure(t, tag, err)
		return
	}
	c.r.recordAnswer(t, tag)
	if s.Tagged && t.number%readOwnWriteInterval == 0 {
		c.readOwnWrite(ctx, tableOf(s.SQL), tag)
	}
}

// readOwnWrite reads a row back in the session that wrote it.
func (c *callerConn) readOwnWrite(ctx context.Context, table, tag string) {
	var n int
	if err := c.conn.QueryRow(ctx, fmt.Sprintf("select count(*) from %s where tag = $1", table), tag).Scan(&n); err == nil && n != 1 {
		c.r.mu.Lock()
		c.r.wrongAnswers.StaleReads++
		c.r.mu.Unlock()
	}
}

// tableOf is the table of an INSERT INTO statement.
func tableOf(sql string) string {
	words := strings.FieldsFunc(sql, func(x rune) bool { return x == ' ' || x == '(' })
	for i, w := range words {
		if strings.EqualFold(w, "into") && i+1 < len(words) {
			return words[i+1]
		}
	}
	return ""
}

func (r *Runner) recordAnswer(t request, tag string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats[t.stream].recordAnswer(t.at, time.Since(r.start)-t.at)
	if tag != "" {
		r.acknowledged[tag] = true
	}
}

func (r *Runner) recordFailure(t request, tag string, err error) {
	code := "connection"
	var pe *pgconn.PgError
	notRun := false
	if errors.As(err, &pe) {
		code = pe.Code
		notRun = strings.HasPrefix(pe.Message, "not run")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats[t.stream].recordRefusal(code, time.Since(r.start)-t.at)
	if tag != "" && notRun {
		r.notRun[tag] = true
	}
}

// checkWrites holds what callers were told against the tables.
func (r *Runner) checkWrites(ctx context.Context) error {
	c := &callerConn{r: r, proxy: r.target.Proxies[0]}
	if err := c.connect(ctx); err != nil {
		return err
	}
	defer c.close(ctx)
	there := map[string]int{}
	for _, s := range r.scenario.Streams {
		if !s.Tagged {
			continue
		}
		tags, err := c.readTags(ctx, tableOf(s.SQL))
		if err != nil {
			return err
		}
		for _, t := range tags {
			there[t]++
		}
	}
	for t := range r.acknowledged {
		if there[t] == 0 {
			r.wrongAnswers.LostWrites++
		}
	}
	for t, n := range there {
		if n > 1 {
			r.wrongAnswers.DuplicateWrites++
		}
		if r.notRun[t] {
			r.wrongAnswers.FalseRefusals++
		}
	}
	return nil
}

// readTags reads all readTags of a table, and waits for a server that is still busy with what the run left behind.
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
