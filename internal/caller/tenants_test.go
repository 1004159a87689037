package caller_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/pkg/bundle"
)

// The load of 76 tenants whose sizes follow a power law. A node serves half of a region's connections and half of the servers'
// slots.
const (
	tenantCount  = 76
	sizeExponent = 1.2
	// usualLoad is the usual number of requests per second of all tenants. The lane's servers can run about 600.
	usualLoad = 170.0
	burst     = 2.4
	// regionConns and zoneConns are the connections to a server of one of two dispatchers, and of one of six, without the one for
	// control.
	regionConns = 34
	zoneConns   = 10
	hotFrom     = 10 * time.Second
	hotUntil    = 18 * time.Second
	loadUntil   = 25 * time.Second
	// maxShareLoss is how much less of its requests a tenant may have served than without hot tenants.
	maxShareLoss = 0.02
	// minWorstTenth is the smallest mean of the worst served tenth of tenants, as a part of the mean over all.
	minWorstTenth = 0.95
)

var boardClass = bundle.Class{Name: "board", DeadlineMS: 2500, ObjectiveMS: 300, MaxAgeMS: 1500}

func tenantName(i int) string {
	return fmt.Sprintf("t%02d", i+1)
}

// tenantRate returns the usual number of requests per second of a tenant.
func tenantRate(i int) float64 {
	sum := 0.0
	for k := range tenantCount {
		sum += math.Pow(float64(k+1), -sizeExponent)
	}
	return usualLoad * math.Pow(float64(i+1), -sizeExponent) / sum
}

// playTenants plays the tenants' load, of which a quarter are writes. Between hotFrom and hotUntil, the hot tenants send
// several times as much, and all tenants send burst times as many requests of one class.
func playTenants(c *qt.C, p caller.Policy, conns int, burstClass string, hot map[int]float64) *loadLane {
	f := newLoadLane(c, p, loadSpec{serverSlots: 2, slots: 6, conns: conns})
	f.countFrom = hotFrom
	for i := range tenantCount {
		for k, s := range []struct {
			caller loadCaller
			part   float64
		}{
			{loadCaller{class: boardClass, kinds: []caller.Kind{caller.KindRead}}, 0.75},
			{loadCaller{class: singleClass, kinds: []caller.Kind{caller.KindWrite}}, 0.25},
		} {
			s.caller.tenant = tenantName(i)
			peak := 1.0
			if s.caller.class.Name == burstClass {
				peak = burst
			}
			seed := int64(1000*k + 10*i)
			rate := tenantRate(i) * s.part
			f.offer(seed, s.caller, rate, loadBaseTime, hotFrom)
			f.offer(seed+1, s.caller, rate*peak, hotFrom, hotUntil)
			f.offer(seed+2, s.caller, rate, hotUntil, loadUntil)
			if times, ok := hot[i]; ok {
				f.offer(seed+3, s.caller, rate*(times-1), hotFrom, hotUntil)
			}
		}
	}
	f.Run(loadUntil + 5*time.Second)
	return f
}

// others returns the served shares of the tenants that are not hot, the least first, and how much the worst one has lost
// compared with a run without hot tenants.
func others(f, calm *loadLane, hot map[int]float64) (shares []float64, worstLoss float64) {
	for i := range tenantCount {
		if _, ok := hot[i]; !ok {
			share := f.tenants[tenantName(i)].share()
			shares = append(shares, share)
			worstLoss = max(worstLoss, calm.tenants[tenantName(i)].share()-share)
		}
	}
	slices.Sort(shares)
	return shares, worstLoss
}

func mean(vs []float64) float64 {
	sum := 0.0
	for _, v := range vs {
		sum += v
	}
	return sum / float64(len(vs))
}

// tenantLoad is a policy with the run without hot tenants.
type tenantLoad struct {
	policy     caller.Policy
	burstClass string
	calm       *loadLane
}

// servedAsAlone reports whether the tenants that are not hot are served as if the others were not there.
func (l tenantLoad) servedAsAlone(c *qt.C, hot map[int]float64) bool {
	f := playTenants(c, l.policy, regionConns, l.burstClass, hot)
	shares, worstLoss := others(f, l.calm, hot)
	tenth := mean(shares[:len(shares)/10]) / mean(shares)
	c.Logf("%s, burst of %s, hot %v: mean %.4f, worst tenth %.4f of it, worst loss %.4f, %d of all in time, %d opened, hot served %v",
		l.policy.Name, l.burstClass, hot, mean(shares), tenth, worstLoss, f.inTime(), f.opened(), hotShares(f, hot))
	return worstLoss <= maxShareLoss && tenth >= minWorstTenth
}

func hotShares(f *loadLane, hot map[int]float64) (shares []string) {
	for i := range hot {
		shares = append(shares, fmt.Sprintf("%s %.2f", tenantName(i), f.tenants[tenantName(i)].share()))
	}
	slices.Sort(shares)
	return shares
}

// TestHotTenants guards against tenants that are refused or late because others send several times their usual load during a
// burst of one class of all tenants.
func TestHotTenants(t *testing.T) {
	quickest := caller.Quickest(func(string) int { return 0 })
	today := quickest
	today.Name, today.Share = "today's order", func(caller.Request) string { return "" }
	for _, k := range []struct {
		policy     caller.Policy
		burstClass string
		want       bool
	}{
		{quickest, boardClass.Name, true},
		{quickest, singleClass.Name, true},
		{today, boardClass.Name, false},
		{caller.FIFO(), boardClass.Name, false},
	} {
		c := qt.New(t)
		l := tenantLoad{policy: k.policy, burstClass: k.burstClass, calm: playTenants(c, k.policy, regionConns, k.burstClass, nil)}
		for _, hot := range []map[int]float64{{0: 7}, {0: 5, 4: 7}, {0: 3, 1: 7, 2: 5}} {
			c.Check(l.servedAsAlone(c, hot), qt.Equals, k.want)
		}
	}
}

// TestScarceConnections guards against a deployment in which each zone has its own dispatcher, although that leaves it too few
// connections for its tenants: they spend their servers' time on opening connections.
func TestScarceConnections(t *testing.T) {
	c := qt.New(t)
	quickest := caller.Quickest(func(string) int { return 0 })
	region := playTenants(c, quickest, regionConns, boardClass.Name, nil)
	zone := playTenants(c, quickest, zoneConns, boardClass.Name, nil)
	regionShares, _ := others(region, region, nil)
	zoneShares, _ := others(zone, zone, nil)
	c.Logf("%d connections: mean %.4f, least %.4f, %d opened; %d connections: mean %.4f, least %.4f, %d opened", regionConns,
		mean(regionShares), regionShares[0], region.opened(), zoneConns, mean(zoneShares), zoneShares[0], zone.opened())
	c.Check(regionShares[0] >= minWorstTenth, qt.IsTrue)
	c.Check(region.opened()*2 <= zone.opened(), qt.IsTrue)
}
