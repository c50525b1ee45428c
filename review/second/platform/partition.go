package platform

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
)

// Partition cuts machines off from all replicas: their connections to replicas are reset. A replica
// tells the machines apart by the process that owns the other end of a connection, since all
// connections on loopback have one source address.
type Partition struct {
	mu    sync.Mutex
	cut   []*Machine
	conns map[*net.TCPConn]int
}

// wrap returns a listener of a replica that the partition applies to.
func (p *Partition) wrap(listener net.Listener, edges []*Machine) net.Listener {
	return &partitionedListener{Listener: listener, partition: p, edges: edges}
}

// Begin cuts machines off and resets the connections that they have.
func (p *Partition) Begin(machines ...*Machine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = machines
	for conn, pid := range p.conns {
		if p.isCut(pid) {
			reset(conn)
		}
	}
}

// End joins the machines again.
func (p *Partition) End() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = nil
}

// isCut reports whether the process is that of a machine which is cut off. The caller must hold p.mu.
func (p *Partition) isCut(pid int) bool {
	for _, m := range p.cut {
		if m.process.Process.Pid == pid {
			return true
		}
	}
	return false
}

// admit notes a connection, or resets it and returns false.
func (p *Partition) admit(conn *net.TCPConn, edges []*Machine) bool {
	pid := ownerOf(conn, edges)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isCut(pid) {
		reset(conn)
		return false
	}
	if p.conns == nil {
		p.conns = map[*net.TCPConn]int{}
	}
	p.conns[conn] = pid
	return true
}

func (p *Partition) forget(conn *net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
}

func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// partitionedListener is the listener of a replica.
type partitionedListener struct {
	net.Listener
	partition *Partition
	edges     []*Machine
}

// Accept returns the next connection of a machine that is not cut off.
func (l *partitionedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp := conn.(*net.TCPConn)
		if l.partition.admit(tcp, l.edges) {
			return &partitionedConn{TCPConn: tcp, partition: l.partition}, nil
		}
	}
}

// partitionedConn is a connection that the partition may reset.
type partitionedConn struct {
	*net.TCPConn
	partition *Partition
}

// Close closes the connection.
func (c *partitionedConn) Close() error {
	c.partition.forget(c.TCPConn)
	return c.TCPConn.Close()
}

// ownerOf returns the process of the machine that has the other end of a connection; 0 for none.
func ownerOf(conn *net.TCPConn, machines []*Machine) int {
	remote := conn.RemoteAddr().(*net.TCPAddr)
	local := conn.LocalAddr().(*net.TCPAddr)
	inode := inodeOf(remote.Port, local.Port)
	if inode == "" {
		return 0
	}
	for _, m := range machines {
		folder := fmt.Sprintf("/proc/%d/fd", m.process.Process.Pid)
		entries, _ := os.ReadDir(folder)
		for _, entry := range entries {
			if target, err := os.Readlink(folder + "/" + entry.Name()); err == nil && target == "socket:["+inode+"]" {
				return m.process.Process.Pid
			}
		}
	}
	return 0
}

// inodeOf returns the inode of the socket with a local and a remote port; "" for none.
func inodeOf(localPort, remotePort int) string {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	localEnd, remoteEnd := fmt.Sprintf(":%04X", localPort), fmt.Sprintf(":%04X", remotePort)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) > 9 && strings.HasSuffix(fields[1], localEnd) && strings.HasSuffix(fields[2], remoteEnd) {
			return fields[9]
		}
	}
	return ""
}
