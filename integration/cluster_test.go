package integration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/comfreytiller/integration/daemons"
)

// conditionTimeout bounds every wait for a condition.
const conditionTimeout = 30 * time.Second

// conditionPoll is the interval between two checks of a condition.
const conditionPoll = 20 * time.Millisecond

func TestMain(m *testing.M) { os.Exit(daemons.RunTests(m)) }

// eventually waits for a condition.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	eventuallyWithin(t, conditionTimeout, what, condition)
}

func eventuallyWithin(t *testing.T, limit time.Duration, what string, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, limit, conditionPoll, what)
}

// host is one daemon of a cluster. callers, peers and admin are its listen addresses.
type host struct {
	name      string
	domain    string
	callers   string
	peers     string
	admin     string
	directory string
	replica   bool

	// drainTimeout is the DrainTimeout of the settings.
	drainTimeout time.Duration

	// ready is set while a load balancer would send requests to this host.
	ready atomic.Bool

	settings string
	log      string
	cmd      *exec.Cmd
	exited   chan error
}

// cluster is a set of daemons that listen on loopback addresses.
type cluster struct {
	t         *testing.T
	directory string
	keyFile   string
	hosts     []*host
}

var failureDomains = []string{"Rabat-A", "Rabat-B", "Rabat-C"}

// newCluster starts hosts spread over three failure domains. The given number of
// hosts, starting from the first, have state replicas.
func newCluster(t *testing.T, hosts, replicas int) *cluster {
	t.Helper()
	c := &cluster{t: t, directory: t.TempDir()}
	c.keyFile = filepath.Join(c.directory, "key")
	require.NoError(t, os.WriteFile(c.keyFile, []byte("the key of the process tests"), 0o600))
	for i := range hosts {
		c.hosts = append(c.hosts, c.newHost(fmt.Sprintf("host-%d", i+1), failureDomains[i%len(failureDomains)], i < replicas))
	}
	for _, h := range c.hosts {
		c.writeSettings(h)
	}
	t.Cleanup(c.close)
	c.start(c.hosts[0], "--Bootstrap")
	c.awaitReady(c.hosts[0])
	for _, h := range c.hosts[1:] {
		c.start(h)
	}
	for _, h := range c.hosts {
		c.awaitReady(h)
	}
	for _, h := range c.hosts[1:] {
		if h.replica {
			c.mustRunTool(c.hosts[0], "replica", "add", "--Replica", h.peers)
		}
	}
	return c
}

func (c *cluster) newHost(name, domain string, replica bool) *host {
	h := &host{
		name:      name,
		domain:    domain,
		callers:   daemons.FreeAddress(c.t),
		peers:     daemons.FreeAddress(c.t),
		admin:     daemons.FreeAddress(c.t),
		directory: filepath.Join(c.directory, name),
		replica:   replica,
	}
	h.settings = filepath.Join(c.directory, name+".jsonc")
	h.log = filepath.Join(c.directory, name+".log")
	require.NoError(c.t, os.MkdirAll(h.directory, 0o700))
	return h
}

func (c *cluster) writeSettings(h *host) {
	type state struct {
		Folder  string
		Cluster string
	}
	type settings struct {
		Host, FailureDomain, Callers, Peers, Admin, KeyFile string

		StateReplicas []string
		// DrainTimeout "0s" disables the limit.
		DrainTimeout string
	}
	type withState struct {
		settings
		State state
	}
	s := settings{
		Host: h.name, FailureDomain: h.domain,
		Callers: h.callers, Peers: h.peers, Admin: h.admin, KeyFile: c.keyFile,
		DrainTimeout: h.drainTimeout.String(),
	}
	for _, other := range c.hosts {
		if other.replica {
			s.StateReplicas = append(s.StateReplicas, other.peers)
		}
	}
	var written any = s
	if h.replica {
		written = withState{settings: s, State: state{Folder: h.directory, Cluster: "Test"}}
	}
	text, err := json.MarshalIndent(written, "", "  ")
	require.NoError(c.t, err)
	require.NoError(c.t, os.WriteFile(h.settings, text, 0o600))
}

func (c *cluster) start(h *host, arguments ...string) {
	c.t.Helper()
	log, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(c.t, err)
	defer func() { _ = log.Close() }()
	cmd := exec.Command(daemons.Binary(c.t, "comfreytillerd"), append([]string{"--Settings", h.settings}, arguments...)...)
	cmd.Stdout, cmd.Stderr = log, log
	require.NoError(c.t, cmd.Start())
	h.cmd = cmd
	h.exited = make(chan error, 1)
	go func(exited chan error) { exited <- cmd.Wait() }(h.exited)
}

func (c *cluster) signal(h *host, signal syscall.Signal) {
	require.NoError(c.t, h.cmd.Process.Signal(signal))
}

// kill ends a daemon with SIGKILL.
func (c *cluster) kill(h *host) {
	c.signal(h, syscall.SIGKILL)
	<-h.exited
	h.ready.Store(false)
	h.cmd = nil
}

// stop ends a daemon gracefully and requires exit code 0.
func (c *cluster) stop(h *host) {
	c.t.Helper()
	h.ready.Store(false)
	c.signal(h, syscall.SIGTERM)
	select {
	case err := <-h.exited:
		require.NoError(c.t, err, "graceful stop of %s", h.name)
	case <-time.After(conditionTimeout):
		require.Fail(c.t, "no graceful stop", h.name)
	}
	h.cmd = nil
}

func (c *cluster) awaitReady(h *host) {
	c.t.Helper()
	eventually(c.t, h.name+" is ready", func() bool {
		select {
		case err := <-h.exited:
			h.exited <- err
			require.Fail(c.t, "daemon ended early", "%s: %v", h.name, err)
		default:
		}
		status, _, err := get("http://" + h.admin + "/readyz")
		return err == nil && status == 200
	})
	h.ready.Store(true)
}

// readyHosts returns the hosts that a load balancer would send requests to. A host that
// is being killed is included until its process has exited, as a load balancer needs
// time to notice.
func (c *cluster) readyHosts() []*host {
	var ready []*host
	for _, h := range c.hosts {
		if h.ready.Load() {
			ready = append(ready, h)
		}
	}
	return ready
}

func (c *cluster) close() {
	for _, h := range c.hosts {
		if h.cmd != nil {
			_ = h.cmd.Process.Signal(syscall.SIGCONT)
			_ = h.cmd.Process.Kill()
			<-h.exited
		}
		if c.t.Failed() {
			c.printLog(h)
		}
	}
}

// printLog prints the log of a daemon of a failed test. Of the lines about single
// requests, only the last ones are printed.
func (c *cluster) printLog(h *host) {
	text, err := os.ReadFile(h.log)
	if err != nil {
		return
	}
	const lastRequests = 10
	var lines, requests []string
	for _, line := range strings.Split(string(text), "\n") {
		if strings.Contains(line, "Route: ") || strings.Contains(line, "Owner: request") {
			requests = append(requests, line)
		} else {
			lines = append(lines, line)
		}
	}
	lines = append(lines, requests[max(0, len(requests)-lastRequests):]...)
	c.t.Logf("log of %s:\n%s", h.name, strings.Join(lines, "\n"))
}

// runTool runs the command-line tool against a host and returns its output and exit
// code.
func (c *cluster) runTool(h *host, arguments ...string) (string, int) {
	arguments = append(arguments, "--Address", h.peers, "--KeyFile", c.keyFile)
	cmd := exec.Command(daemons.Binary(c.t, "comfreytiller"), arguments...)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	err := cmd.Run()
	if err != nil && cmd.ProcessState == nil {
		require.NoError(c.t, err)
	}
	return out.String(), cmd.ProcessState.ExitCode()
}

// mustRunTool runs the command-line tool and requires exit code 0.
func (c *cluster) mustRunTool(h *host, arguments ...string) string {
	c.t.Helper()
	out, code := c.runTool(h, arguments...)
	require.Zero(c.t, code, "%s: %s", strings.Join(arguments, " "), out)
	return out
}

// apply activates a fleet configuration.
func (c *cluster) apply(configuration string, arguments ...string) {
	c.t.Helper()
	file := filepath.Join(c.directory, "fleet.jsonc")
	require.NoError(c.t, os.WriteFile(file, []byte(configuration), 0o600))
	c.mustRunTool(c.runningHosts()[0], append([]string{"apply", file}, arguments...)...)
}

// runningHosts returns the hosts whose daemon is running.
func (c *cluster) runningHosts() []*host {
	var running []*host
	for _, h := range c.hosts {
		if h.cmd != nil {
			running = append(running, h)
		}
	}
	return running
}

// fleetStatus is the part of the status output that the tests use.
type fleetStatus struct {
	Version  uint64
	Services []struct {
		Name    string
		Owner   string
		Serving bool
		Targets []struct {
			Name  string
			State string
			Limit int
		}
	}
	Replicas []struct {
		ID, Host, Address string
		Voter, Leader     bool
	}
}

func (c *cluster) status(h *host) (fleetStatus, bool) {
	out, code := c.runTool(h, "status", "--Json")
	var status fleetStatus
	if code != 0 || json.Unmarshal([]byte(out), &status) != nil {
		return fleetStatus{}, false
	}
	return status, true
}

// owner returns the host that owns a service, or nil if it is unknown.
func (c *cluster) owner(via *host, service string) *host {
	status, ok := c.status(via)
	if !ok {
		return nil
	}
	for _, s := range status.Services {
		if s.Name == service {
			return c.hostByName(s.Owner)
		}
	}
	return nil
}

func (c *cluster) hostByName(name string) *host {
	for _, h := range c.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

// leader waits for a leader and returns its host.
func (c *cluster) leader() *host {
	c.t.Helper()
	var leader *host
	eventually(c.t, "a leader", func() bool {
		for _, h := range c.hosts {
			if !h.replica || h.cmd == nil {
				continue
			}
			status, ok := c.status(h)
			if !ok {
				continue
			}
			for _, replica := range status.Replicas {
				if replica.Leader {
					leader = c.hostByName(replica.Host)
				}
			}
		}
		return leader != nil && leader.cmd != nil
	})
	return leader
}

// awaitTargets waits until a service has exactly the wanted number of targets that
// admit new requests.
func (c *cluster) awaitTargets(via *host, service string, wanted int) {
	c.t.Helper()
	eventually(c.t, fmt.Sprintf("%d targets of %s", wanted, service), func() bool {
		status, ok := c.status(via)
		if !ok {
			return false
		}
		for _, s := range status.Services {
			if s.Name != service || !s.Serving {
				continue
			}
			admitting := 0
			for _, t := range s.Targets {
				if t.Limit > 0 && (t.State == "Ready" || t.State == "Warming") {
					admitting++
				}
			}
			return admitting == wanted
		}
		return false
	})
}
