package load

import (
	"embed"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"time"

	"buckthornport.example/buckthornport/internal/jsonc"
)

//go:embed scenarios/*.jsonc
var scenarios embed.FS

// Scenario says what callers do and what goes wrong meanwhile; Callers is the number of connections of each stream, so that
// one kind of caller does not wait for another's.
type Scenario struct {
	Name       string   `json:"name"`
	DurationMS int      `json:"duration_ms"`
	Callers    int      `json:"callers"`
	DelayMS    int      `json:"caller_delay_ms"`
	Setup      []string `json:"setup"`
	Streams    []Stream `json:"streams"`
	Events     []Event  `json:"events"`
}

// Stream is one kind of request; its rate follows the profile's straight lines.
type Stream struct {
	Name    string  `json:"name"`
	SQL     string  `json:"sql"`
	Tagged  bool    `json:"tagged"`
	Long    bool    `json:"long"`
	Profile []Point `json:"profile"`
}

// Point is a rate in requests per second at a time of the run.
type Point struct {
	AtMS int     `json:"at_ms"`
	Rate float64 `json:"rate"`
}

// Event is an order to the group's stand-in at a time of the run.
type Event struct {
	AtMS int    `json:"at_ms"`
	Post string `json:"post"`
}

// Names returns the names of the scenarios that come with the program.
func Names() []string {
	es, err := scenarios.ReadDir("scenarios")
	if err != nil {
		return nil
	}
	var ns []string
	for _, e := range es {
		ns = append(ns, e.Name()[:len(e.Name())-len(".jsonc")])
	}
	return ns
}

// Builtin returns the text of a scenario that comes with the program.
func Builtin(name string) ([]byte, bool) {
	b, err := scenarios.ReadFile("scenarios/" + name + ".jsonc")
	return b, err == nil
}

// Parse reads a scenario from JSON with comments.
func Parse(file string, source []byte) (Scenario, error) {
	s := Scenario{Callers: 64}
	t := jsonc.Decode(file, source, &s)
	if s.DurationMS <= 0 {
		t.AddError("duration_ms", "is missing", "want the length of the run in milliseconds")
	}
	if s.Callers < 1 {
		t.AddError("callers", "leaves nobody to ask", "want at least 1")
	}
	if len(s.Streams) == 0 {
		t.AddError("streams", "asks nothing", "want at least one stream")
	}
	for i, v := range s.Streams {
		at := fmt.Sprintf("streams[%d]", i)
		if v.SQL == "" || v.Name == "" {
			t.AddError(at, "has no name or no sql", "want both")
		}
		if len(v.Profile) == 0 {
			t.AddError(at+".profile", "is missing", `want [{"at_ms": 0, "rate": …}, …]`)
		}
	}
	return s, t.Err()
}

// rate returns the stream's rate at a time of the run.
func (s Stream) rate(at time.Duration) float64 {
	ms := float64(at.Milliseconds())
	last := s.Profile[0]
	for _, p := range s.Profile {
		if float64(p.AtMS) > ms {
			part := (ms - float64(last.AtMS)) / math.Max(1, float64(p.AtMS-last.AtMS))
			return last.Rate + part*(p.Rate-last.Rate)
		}
		last = p
	}
	return last.Rate
}

// arrival is one request and when it is due.
type arrival struct {
	at     time.Duration
	stream int
}

// arrivals draws the times of all requests, as from many callers who know nothing of each other.
func (s Scenario) arrivals(seed int64) []arrival {
	end := time.Duration(s.DurationMS) * time.Millisecond
	var all []arrival
	for i, v := range s.Streams {
		rnd := rand.New(rand.NewSource(seed + int64(i)))
		most := 0.0
		for _, p := range v.Profile {
			most = math.Max(most, p.Rate)
		}
		if most == 0 {
			continue
		}
		for at := time.Duration(0); ; {
			at += time.Duration(rnd.ExpFloat64() / most * float64(time.Second))
			if at >= end {
				break
			}
			if rnd.Float64()*most < v.rate(at) {
				all = append(all, arrival{at: at, stream: i})
			}
		}
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	return all
}
