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
var scenarioFiles embed.FS

// Scenario describes the load and the faults of a run. Callers is the number of connections per stream. Streams share no
// connections, so that the requests of one stream do not wait for those of another. CallerDelayMS is the simulated network delay
// between caller and proxy, in each direction.
type Scenario struct {
	Name          string   `json:"name"`
	DurationMS    int      `json:"duration_ms"`
	Callers       int      `json:"callers"`
	CallerDelayMS int      `json:"caller_delay_ms"`
	Setup         []string `json:"setup"`
	Streams       []Stream `json:"streams"`
	Events        []Event  `json:"events"`
}

// Stream is one kind of request. Its rate is interpolated linearly between the points of Profile. The SQL of a tagged stream is an
// INSERT whose parameter is a tag that is unique in the run; the table stores it in the column tag. Long only marks the stream in
// the report.
type Stream struct {
	Name    string      `json:"name"`
	SQL     string      `json:"sql"`
	Tagged  bool        `json:"tagged"`
	Long    bool        `json:"long"`
	Profile []RatePoint `json:"profile"`
}

// RatePoint is the rate in requests per second at a time since the start of the run.
type RatePoint struct {
	AtMS int     `json:"at_ms"`
	Rate float64 `json:"rate"`
}

// Event is an HTTP POST to the admin interface of the group stand-in at a time since the start of the run.
type Event struct {
	AtMS int    `json:"at_ms"`
	Path string `json:"post"`
}

// BuiltinNames returns the names of the built-in scenarios.
func BuiltinNames() []string {
	entries, err := scenarioFiles.ReadDir("scenarios")
	if err != nil {
		return nil
	}
	var names []string
	for _, e := range entries {
		names = append(names, e.Name()[:len(e.Name())-len(".jsonc")])
	}
	return names
}

// Builtin returns the text of a built-in scenario, and whether there is one of that name.
func Builtin(name string) ([]byte, bool) {
	b, err := scenarioFiles.ReadFile("scenarios/" + name + ".jsonc")
	return b, err == nil
}

// ParseScenario reads a scenario from JSON with comments. Its error names all mistakes and their positions in source.
func ParseScenario(file string, source []byte) (Scenario, error) {
	s := Scenario{Callers: 64}
	d := jsonc.Decode(file, source, &s)
	if s.DurationMS <= 0 {
		d.AddError("duration_ms", "is missing or not positive", "want the length of the run in milliseconds")
	}
	if s.Callers < 1 {
		d.AddError("callers", fmt.Sprintf("%d callers cannot send requests", s.Callers), "want at least 1")
	}
	if len(s.Streams) == 0 {
		d.AddError("streams", "lists no stream", "want at least one stream")
	}
	for i, v := range s.Streams {
		at := fmt.Sprintf("streams[%d]", i)
		if v.SQL == "" || v.Name == "" {
			d.AddError(at, "name or sql is missing", "want both")
		}
		if len(v.Profile) == 0 {
			d.AddError(at+".profile", "is missing", `want [{"at_ms": 0, "rate": …}, …]`)
		}
	}
	return s, d.Err()
}

// rate returns the stream's rate in requests per second at a time since the start of the run.
func (s Stream) rate(at time.Duration) float64 {
	ms := float64(at.Milliseconds())
	last := s.Profile[0]
	for _, p := range s.Profile {
		if float64(p.AtMS) > ms {
			fraction := (ms - float64(last.AtMS)) / math.Max(1, float64(p.AtMS-last.AtMS))
			return last.Rate + fraction*(p.Rate-last.Rate)
		}
		last = p
	}
	return last.Rate
}

// arrival is the time at which a request of a stream is due, counted from the start of the run.
type arrival struct {
	at     time.Duration
	stream int
}

// arrivals returns the arrival times of all requests in order. The arrivals of each stream are a Poisson process, as from many
// independent callers; its rate varies, so the times are drawn at the highest rate and thinned out.
func (s Scenario) arrivals(seed int64) []arrival {
	end := time.Duration(s.DurationMS) * time.Millisecond
	var all []arrival
	for i, v := range s.Streams {
		rnd := rand.New(rand.NewSource(seed + int64(i)))
		maxRate := 0.0
		for _, p := range v.Profile {
			maxRate = math.Max(maxRate, p.Rate)
		}
		if maxRate == 0 {
			continue
		}
		for at := time.Duration(0); ; {
			at += time.Duration(rnd.ExpFloat64() / maxRate * float64(time.Second))
			if at >= end {
				break
			}
			if rnd.Float64()*maxRate < v.rate(at) {
				all = append(all, arrival{at: at, stream: i})
			}
		}
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	return all
}
