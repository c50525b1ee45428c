// Package rollout decides how the requests of a service move to the targets of a new software
// version.
//
// Load: an operator orders that a service moves to a new version within a given time, while
// callers go on. The version may be bad: it fails a part of its requests, or is several times
// slower for a part of them, at once, later, under load, or on one route only. A bad version
// may only be noticed by a small share of the requests, and a good one must have all of them
// before the deadline. Requests fail for other reasons, too: base error rates, crashes of
// machines, caches that are still cold.
//
// An Assignment on an entry host decides for each request whether it goes to the new version,
// within the share that is in force. An Observer there counts the requests and their outcomes.
// Hubs add the reports up, and a Controller on the leading hub decides on the share.
//
// The package does no I/O and starts no goroutine; the time is an argument.
//
// # Usage
//
// On an entry host:
//
//	if assignment.Prefers(share, promptShare, promptKey) { ... }
//	assignment.Record(share, wentToVersion, random)
//	observer.RecordRequest(service, number, wentToVersion)
//	observer.RecordFirstByte(service, number, route, isVersion, firstByte)
//	observer.RecordFailure(service, number, route, isVersion, failure)
//	report := observer.TakeReport()
//
// On a hub:
//
//	sums.Add(report)
//	decision := controller.Decide(input)
package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// buckets is the number of buckets of a Histogram. Bucket 0 holds times below
	// firstBucket, each other one times that are up to bucketStep times longer than those of
	// the one before, the last one all longer times.
	buckets     = 32
	firstBucket = time.Millisecond
	// maxRoutes limits the routes of a service that are told apart; the others count under
	// the empty name.
	maxRoutes = 64
)

// bucketStep is half of a factor of 2. With steps of 2, a response that is three times slower
// may be in the next bucket, like one that is hardly slower.
const bucketStep = math.Sqrt2

// Histogram counts times to first byte by their length.
type Histogram [buckets]uint64

// bucketOf returns the bucket of a time.
func bucketOf(duration time.Duration) int {
	if duration < firstBucket {
		return 0
	}
	steps := 1 + int(2*math.Log2(float64(duration)/float64(firstBucket)))
	return min(steps, buckets-1)
}

// above returns the number of times in higher buckets than the given one.
func (h *Histogram) above(bucket int) uint64 {
	sum := uint64(0)
	for i := bucket + 1; i < buckets; i++ {
		sum += h[i]
	}
	return sum
}

// Side counts what became of the requests that went to the new version, or to the others.
type Side struct {
	// Responses is the number of requests with a first byte or a failure. Failures are the bad
	// ones among them: error statuses of the target, broken responses and timeouts.
	Responses uint64
	Failures  uint64
	// Lost is the number of requests whose connection the target closed. They are not in
	// Failures: all requests on a machine that is lost end at once.
	Lost uint64
	// NotRun is the number of requests that the target has not run.
	NotRun    uint64
	FirstByte Histogram
}

func (s *Side) add(other *Side) {
	s.Responses += other.Responses
	s.Failures += other.Failures
	s.Lost += other.Lost
	s.NotRun += other.NotRun
	for i, count := range other.FirstByte {
		s.FirstByte[i] += count
	}
}

// since returns the counts since an earlier state.
func (s *Side) since(earlier *Side) Side {
	difference := Side{
		Responses: s.Responses - min(earlier.Responses, s.Responses), Failures: s.Failures - min(earlier.Failures, s.Failures),
		Lost: s.Lost - min(earlier.Lost, s.Lost), NotRun: s.NotRun - min(earlier.NotRun, s.NotRun),
	}
	for i := range s.FirstByte {
		difference.FirstByte[i] = s.FirstByte[i] - min(earlier.FirstByte[i], s.FirstByte[i])
	}
	return difference
}

// RouteReport counts the requests of one route.
type RouteReport struct {
	Route  string
	New    Side
	Others Side
}

// ServiceReport counts the requests of a service during one rollout.
type ServiceReport struct {
	Service string
	// Number is that of the rollout.
	Number uint64
	// Requests are those that were sent to a target, Exposed those of them that were sent to
	// the new version. They count when they are sent.
	Requests uint64
	Exposed  uint64
	// Routes are sorted by name.
	Routes []RouteReport
}

// Add adds another report on the same rollout.
func (s *ServiceReport) Add(other *ServiceReport) {
	s.Requests += other.Requests
	s.Exposed += other.Exposed
	for i := range other.Routes {
		route := s.route(other.Routes[i].Route)
		route.New.add(&other.Routes[i].New)
		route.Others.add(&other.Routes[i].Others)
	}
}

// Clone returns a copy that shares nothing with the report.
func (s *ServiceReport) Clone() ServiceReport {
	copied := *s
	copied.Routes = slices.Clone(s.Routes)
	return copied
}

// route returns the counts of a route, which it adds if there is room for it.
func (s *ServiceReport) route(name string) *RouteReport {
	at, found := slices.BinarySearchFunc(s.Routes, name, func(route RouteReport, name string) int { return cmp.Compare(route.Route, name) })
	if !found && len(s.Routes) >= maxRoutes && name != "" {
		return s.route("")
	}
	if !found {
		s.Routes = slices.Insert(s.Routes, at, RouteReport{Route: name})
	}
	return &s.Routes[at]
}

// totals returns the sums over the routes.
func (s *ServiceReport) totals() (newSide, others Side) {
	for i := range s.Routes {
		newSide.add(&s.Routes[i].New)
		others.add(&s.Routes[i].Others)
	}
	return newSide, others
}

// Responses returns the number of responses of the new version, and of the bad ones.
func (s *ServiceReport) Responses() (responses, bad uint64) {
	newSide, _ := s.totals()
	return newSide.Responses, newSide.Failures + newSide.Lost
}

// Report is what a host counted since its last report.
type Report struct{ Services []ServiceReport }

// IsEmpty reports whether there is nothing to report.
func (r *Report) IsEmpty() bool { return len(r.Services) == 0 }

// boundary returns the upper end of a bucket.
func boundary(bucket int) time.Duration {
	return time.Duration(float64(firstBucket) * math.Pow(bucketStep, float64(bucket))).Round(100 * time.Microsecond)
}
