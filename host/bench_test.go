package host

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/standin"
)

// BenchmarkInForce measures the time from the acceptance of a configuration
// until it is in force on every host, including the commit. Targets: p99 below
// 1 s at 18 hosts and below 4 s at 390 hosts.
func BenchmarkInForce(b *testing.B) {
	for _, hosts := range []int{18, 72, 390} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			f := startFleet(b, hosts, 3)
			const changes = 100
			times := hdrhistogram.New(1, int64(time.Minute), 3)
			for n := 0; b.Loop(); n++ {
				for i := range changes {
					start := time.Now()
					version := f.apply(n*changes + i)
					require.NoError(b, times.RecordValue(int64(f.waitInForce(version, start))))
				}
			}
			b.ReportMetric(milliseconds(times.ValueAtQuantile(50)), "p50-ms")
			b.ReportMetric(milliseconds(times.ValueAtQuantile(99)), "p99-ms")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func milliseconds(nanoseconds int64) float64 {
	return float64(nanoseconds) / float64(time.Millisecond)
}

// BenchmarkControlTraffic measures the control traffic of a host in bytes per
// second, in both directions, including headers and acknowledgements: idle,
// with heartbeats of targets, and with permit requests. Targets: 2 KB/s at
// today's size, 7 KB/s at 390 hosts. The maximum is that of the leader of the
// state replicas, the median that of an ordinary host.
func BenchmarkControlTraffic(b *testing.B) {
	for _, size := range []struct{ hosts, targets, permits int }{
		{18, 0, 0},
		{18, 21, 0},
		{18, 21, 9},
		{18, 21, 90},
		{72, 0, 0},
		{390, 0, 0},
	} {
		name := fmt.Sprintf("hosts=%d/targets=%d/permits=%d", size.hosts, size.targets, size.permits)
		b.Run(name, func(b *testing.B) {
			f := startFleet(b, size.hosts, 3)
			version := f.apply(0)
			f.waitInForce(version, time.Now())
			f.startTargets(size.targets)
			for b.Loop() {
				f.measureControlTraffic(b, size.permits)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// startTargets starts engines that announce themselves to every host, as they
// do behind a load balancer, with a heartbeat every second.
func (f *testFleet) startTargets(count int) {
	f.tb.Helper()
	var callers []string
	for _, h := range f.hosts {
		callers = append(callers, h.Settings.Callers)
	}
	for i := range count {
		engine, err := standin.NewEngine(clockwork.NewRealClock(), standin.EngineSettings{
			Name: fmt.Sprintf("engine-%d", i), FailureDomain: fmt.Sprintf("Domain-%d", i%3+1),
			Service: "Chats", Model: "m", Version: "1", Hosts: callers,
			Heartbeat: time.Second, Incarnation: 1, FirstByte: time.Millisecond, DefaultTokens: 4,
		})
		require.NoError(f.tb, err)
		f.tb.Cleanup(engine.Close)
	}
	if count == 0 {
		return
	}
	f.await("targets", func() bool {
		for _, h := range f.hosts {
			if h.AvailableTargets("Chats") == count {
				return true
			}
		}
		return false
	})
}

// measureControlTraffic measures the idle traffic for a few seconds, then the
// traffic at the given number of permits per second across the fleet.
func (f *testFleet) measureControlTraffic(b *testing.B, permits int) {
	const seconds = 10
	cpu := cpuTime(b)
	idle := f.controlRates(seconds, func() { <-time.After(seconds * time.Second) })
	perHost := float64(seconds * len(f.hosts))
	idleCPU := (cpuTime(b) - cpu).Seconds() / perHost
	b.ReportMetric(100*idleCPU, "rest-%core/host")
	rates := idle
	if permits > 0 {
		cpu = cpuTime(b)
		rates = f.controlRates(seconds, func() { f.acquirePermits(permits*seconds, seconds*time.Second) })
		// Each byte is counted by both the sender and the receiver.
		b.ReportMetric((sum(rates)-sum(idle))/float64(permits)/2, "B/permit")
		loadCPU := (cpuTime(b)-cpu).Seconds()/perHost - idleCPU
		b.ReportMetric(1e6*loadCPU*float64(len(f.hosts))/float64(permits), "cpu-µs/permit")
	}
	slices.Sort(rates)
	b.ReportMetric(sum(rates)/float64(len(rates)), "mean-B/s")
	b.ReportMetric(rates[len(rates)/2], "median-B/s")
	b.ReportMetric(rates[len(rates)-1], "most-B/s")
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	b.ReportMetric(float64(memory.HeapInuse+memory.StackInuse)/1024/float64(len(f.hosts)), "KiB/host")
}

// cpuTime returns the CPU time of this process, which includes the targets.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// controlRates returns the control traffic of each host in bytes per second
// during run.
func (f *testFleet) controlRates(seconds float64, run func()) []float64 {
	before := f.controlBytes()
	run()
	rates := make([]float64, 0, len(f.hosts))
	for i, after := range f.controlBytes() {
		rates = append(rates, float64(after-before[i])/seconds)
	}
	return rates
}

func sum(values []float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total
}

func (f *testFleet) controlBytes() []uint64 {
	var bytes []uint64
	for _, h := range f.hosts {
		sent, received := h.controlMeter.Totals()
		bytes = append(bytes, sent+received)
	}
	return bytes
}

// acquirePermits acquires and releases count permits, spread evenly over the
// hosts and the time span.
func (f *testFleet) acquirePermits(count int, span time.Duration) {
	ticker := time.NewTicker(span / time.Duration(count))
	defer ticker.Stop()
	for n := range count {
		<-ticker.C
		h := f.hosts[n%len(f.hosts)]
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		permit, err := h.permitClient.Acquire(ctx, admission.Request{
			ID: fmt.Sprintf("r%d", n), Service: "Chats", Workspace: "One",
			Chat: fmt.Sprintf("chat-%d", n%100), Deadline: time.Now().Add(time.Second),
		})
		cancel()
		require.NoError(f.tb, err)
		h.permitClient.Release(admission.Release{
			RequestID: permit.RequestID, Service: permit.Service, Target: permit.Target,
			Outcome: admission.OutcomeDone, FirstByte: time.Millisecond,
		})
	}
}
