// Package main is a case of the second review: two core machines are replaced for good, their leader
// freezes, and the final fault takes two disks after the successors have had their time.
package main

import (
	"bytes"
	"errors"
	"syscall"
	"time"

	"comfreytiller.dev/comfreytiller/review/second/platform"
)

const (
	// settled is the time before the first disruption.
	settled = 6 * time.Second
	// successorAfter is how long after the machines are gone their successors start.
	successorAfter = time.Second
	// freezeAfter is the time from the start of the successors to the freeze, freezeFor its length.
	freezeAfter = 200 * time.Millisecond
	freezeFor   = 3 * time.Second
	// faultAfter is the time from the start of the successors to the final fault: more than catchUpS,
	// after which the machines that are gone don't count as lost any more.
	faultAfter = 5 * time.Second
	downFor    = time.Second
	// readWithin is how long the configuration is read back: more than recoverS and contactMs.
	readWithin = 40 * time.Second
)

func main() { platform.Run("review/6", 2, 5, check) }

func check(d *platform.Deployment) (bool, error) {
	if err := d.StartAll(); err != nil {
		return false, err
	}
	if err := d.PutConfig(1, configWith(1), 20*time.Second); err != nil {
		return false, err
	}
	time.Sleep(settled)
	leader := d.Leader()
	if leader == nil {
		return false, errors.New("no core machine leads")
	}
	d.Record.Notef("%s leads", leader.Name)
	var others []*platform.Machine
	for _, m := range d.Cores {
		if m != leader {
			others = append(others, m)
		}
	}
	if err := replace(d, others[2:], leader); err != nil {
		return false, err
	}
	acknowledged := configWith(1)
	if platform.HasTrouble() {
		d.Record.Notef("final fault: all processes are killed, two disks are lost")
		if err := finalFault(d, others[:2]); err != nil {
			return false, err
		}
	}
	read, err := d.GetConfig(readWithin)
	d.Record.Notef("operator: result of the read: %v", err)
	return err != nil || !bytes.Equal(read, acknowledged), nil
}

// replace takes two core machines away for good, starts their successors, freezes the leader and
// returns when the successors have had their time.
func replace(d *platform.Deployment, gone []*platform.Machine, leader *platform.Machine) error {
	if !platform.HasTrouble() {
		time.Sleep(successorAfter + faultAfter)
		return nil
	}
	for _, m := range gone {
		d.Record.Notef("%s is gone for good", m.Name)
		if err := d.RemoveCore(m); err != nil {
			return err
		}
	}
	time.Sleep(successorAfter)
	started := time.Now()
	for i := range gone {
		if _, err := d.AddCore(5 + i); err != nil {
			return err
		}
	}
	time.Sleep(freezeAfter)
	leader.Signal(syscall.SIGSTOP)
	time.Sleep(freezeFor)
	leader.Signal(syscall.SIGCONT)
	time.Sleep(time.Until(started.Add(faultAfter)))
	return nil
}

// finalFault kills all processes, takes the disks of some machines and starts all again.
func finalFault(d *platform.Deployment, lost []*platform.Machine) error {
	machines := append(append([]*platform.Machine{}, d.Edges...), d.Cores...)
	for _, m := range machines {
		m.Kill()
	}
	for _, m := range lost {
		if err := m.Wipe(); err != nil {
			return err
		}
	}
	time.Sleep(downFor)
	for _, m := range machines {
		m.Bootstrap = false
		if err := m.Start(); err != nil {
			return err
		}
	}
	return nil
}

func configWith(version int) []byte {
	return platform.NewConfig(version, []platform.Service{platform.PlainService("application")}, platform.Route{
		Name: "lookup", Hostname: "api.example", PathPrefix: "/lookup/", Type: "idempotent", TimeoutMs: 2500, SloMs: 150, Service: "application", Attempts: 2, Public: true,
	}).Encode()
}
