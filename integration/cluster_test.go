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

// node is one daemon of a cluster.
type node struct {
	name    string
	domain  string
	callers string
	peers   string
	admin   string
	folder  string
	replica bool

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
	t       *testing.T
	folder  string
	keyFile string
	nodes   []*node
}

var failureDomains = []string{"Rabat-A", "Rabat-B", "Rabat-C"}

// newCluster starts hosts spread over three failure domains. The given number of
// hosts, starting from the first, have state replicas.
func newCluster(t *testing.T, hosts, replicas int) *cluster {
	t.Helper()
	c := &cluster{t: t, folder: t.TempDir()}
	c.keyFile = filepath.Join(c.folder, "key")
	require.NoError(t, os.WriteFile(c.keyFile, []byte("the key of the process tests"), 0o600))
	for i := range hosts {
		c.nodes = append(c.nodes, c.newNode(fmt.Sprintf("host-%d", i+1), failureDomains[i%len(failureDomains)], i < replicas))
	}
	for _, n := range c.nodes {
		c.writeSettings(n)
	}
	t.Cleanup(c.close)
	c.start(c.nodes[0], "--Bootstrap")
	c.awaitReady(c.nodes[0])
	for _, n := range c.nodes[1:] {
		c.start(n)
	}
	for _, n := range c.nodes {
		c.awaitReady(n)
	}
	for _, n := range c.nodes[1:] {
		if n.replica {
			c.mustRunTool(c.nodes[0], "replica", "add", "--Replica", n.peers)
		}
	}
	return c
}

func (c *cluster) newNode(name, domain string, replica bool) *node {
	n := &node{
		name:    name,
		domain:  domain,
		callers: daemons.FreeAddress(c.t),
		peers:   daemons.FreeAddress(c.t),
		admin:   daemons.FreeAddress(c.t),
		folder:  filepath.Join(c.folder, name),
		replica: replica,
	}
	n.settings = filepath.Join(c.folder, name+".jsonc")
	n.log = filepath.Join(c.folder, name+".log")
	require.NoError(c.t, os.MkdirAll(n.folder, 0o700))
	return n
}

func (c *cluster) writeSettings(n *node) {
	type state struct {
		Folder  string
		Cluster string
	}
	type settings struct {
		Host, FailureDomain, Callers, Peers, Admin, KeyFile string

		StateReplicas []string
		// DrainTimeout "0s" means no limit.
		DrainTimeout string
	}
	type withState struct {
		settings
		State state
	}
	s := settings{
		Host: n.name, FailureDomain: n.domain,
		Callers: n.callers, Peers: n.peers, Admin: n.admin, KeyFile: c.keyFile,
		DrainTimeout: n.drainTimeout.String(),
	}
	for _, other := range c.nodes {
		if other.replica {
			s.StateReplicas = append(s.StateReplicas, other.peers)
		}
	}
	var written any = s
	if n.replica {
		written = withState{settings: s, State: state{Folder: n.folder, Cluster: "Test"}}
	}
	text, err := json.MarshalIndent(written, "", "  ")
	require.NoError(c.t, err)
	require.NoError(c.t, os.WriteFile(n.settings, text, 0o600))
}

func (c *cluster) start(n *node, arguments ...string) {
	c.t.Helper()
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(c.t, err)
	defer func() { _ = log.Close() }()
	cmd := exec.Command(daemons.Binary(c.t, "comfreytillerd"), append([]string{"--Settings", n.settings}, arguments...)...)
	cmd.Stdout, cmd.Stderr = log, log
	require.NoError(c.t, cmd.Start())
	n.cmd = cmd
	n.exited = make(chan error, 1)
	go func(exited chan error) { exited <- cmd.Wait() }(n.exited)
}

func (c *cluster) signal(n *node, signal syscall.Signal) {
	require.NoError(c.t, n.cmd.Process.Signal(signal))
}

// kill ends a daemon with SIGKILL.
func (c *cluster) kill(n *node) {
	c.signal(n, syscall.SIGKILL)
	<-n.exited
	n.ready.Store(false)
	n.cmd = nil
}

// stop ends a daemon gracefully and requires exit code 0.
func (c *cluster) stop(n *node) {
	c.t.Helper()
	n.ready.Store(false)
	c.signal(n, syscall.SIGTERM)
	select {
	case err := <-n.exited:
		require.NoError(c.t, err, "graceful stop of %s", n.name)
	case <-time.After(conditionTimeout):
		require.Fail(c.t, "no graceful stop", n.name)
	}
	n.cmd = nil
}

func (c *cluster) awaitReady(n *node) {
	c.t.Helper()
	eventually(c.t, n.name+" is ready", func() bool {
		select {
		case err := <-n.exited:
			n.exited <- err
			require.Fail(c.t, "daemon ended early", "%s: %v", n.name, err)
		default:
		}
		status, _, err := get("http://" + n.admin + "/readyz")
		return err == nil && status == 200
	})
	n.ready.Store(true)
}

// readyNodes returns the hosts that a load balancer would send requests to. A host that
// is being killed is included until its process has exited, as a load balancer needs
// time to notice.
func (c *cluster) readyNodes() []*node {
	var ready []*node
	for _, n := range c.nodes {
		if n.ready.Load() {
			ready = append(ready, n)
		}
	}
	return ready
}

func (c *cluster) close() {
	for _, n := range c.nodes {
		if n.cmd != nil {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			_ = n.cmd.Process.Kill()
			<-n.exited
		}
		if c.t.Failed() {
			c.printLog(n)
		}
	}
}

// printLog prints the log of a daemon of a failed test. Of the lines about single
// requests, only the last ones are printed.
func (c *cluster) printLog(n *node) {
	text, err := os.ReadFile(n.log)
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
	c.t.Logf("log of %s:\n%s", n.name, strings.Join(lines, "\n"))
}

// runTool runs the command-line tool against a host and returns its output and exit
// code.
func (c *cluster) runTool(n *node, arguments ...string) (string, int) {
	arguments = append(arguments, "--Address", n.peers, "--KeyFile", c.keyFile)
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
func (c *cluster) mustRunTool(n *node, arguments ...string) string {
	c.t.Helper()
	out, code := c.runTool(n, arguments...)
	require.Zero(c.t, code, "%s: %s", strings.Join(arguments, " "), out)
	return out
}

// apply activates a fleet configuration.
func (c *cluster) apply(text string, arguments ...string) {
	c.t.Helper()
	file := filepath.Join(c.folder, "fleet.jsonc")
	require.NoError(c.t, os.WriteFile(file, []byte(text), 0o600))
	c.mustRunTool(c.runningNodes()[0], append([]string{"apply", file}, arguments...)...)
}

// runningNodes returns the hosts whose daemon is running.
func (c *cluster) runningNodes() []*node {
	var running []*node
	for _, n := range c.nodes {
		if n.cmd != nil {
			running = append(running, n)
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

func (c *cluster) status(n *node) (fleetStatus, bool) {
	out, code := c.runTool(n, "status", "--Json")
	var status fleetStatus
	if code != 0 || json.Unmarshal([]byte(out), &status) != nil {
		return fleetStatus{}, false
	}
	return status, true
}

// owner returns the host that owns a service, or nil if it is unknown.
func (c *cluster) owner(via *node, service string) *node {
	status, ok := c.status(via)
	if !ok {
		return nil
	}
	for _, s := range status.Services {
		if s.Name == service {
			return c.nodeByName(s.Owner)
		}
	}
	return nil
}

func (c *cluster) nodeByName(name string) *node {
	for _, n := range c.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// leader waits for a leader and returns its host.
func (c *cluster) leader() *node {
	c.t.Helper()
	var leader *node
	eventually(c.t, "a leader", func() bool {
		for _, n := range c.nodes {
			if !n.replica || n.cmd == nil {
				continue
			}
			status, ok := c.status(n)
			if !ok {
				continue
			}
			for _, replica := range status.Replicas {
				if replica.Leader {
					leader = c.nodeByName(replica.Host)
				}
			}
		}
		return leader != nil && leader.cmd != nil
	})
	return leader
}

// awaitTargets waits until a service has exactly the wanted number of targets that
// accept requests.
func (c *cluster) awaitTargets(via *node, service string, wanted int) {
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
			serving := 0
			for _, t := range s.Targets {
				if t.Limit > 0 && (t.State == "Ready" || t.State == "Warming") {
					serving++
				}
			}
			return serving == wanted
		}
		return false
	})
}
