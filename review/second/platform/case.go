package platform

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// HasTrouble reports whether the case has its disruption.
func HasTrouble() bool { return os.Getenv("TROUBLE") != "0" }

// Run runs a case with a deployment and ends the process with the exit code. check returns whether
// the rule was broken, and an error if the case couldn't run.
func Run(folder string, edges, cores int, check func(*Deployment) (broken bool, err error)) {
	os.Exit(run(folder, edges, cores, check))
}

func run(folder string, edges, cores int, check func(*Deployment) (bool, error)) int {
	record, err := NewRecord(folder + "/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitFailed
	}
	defer record.Close()
	record.Notef("the disruption is part of the run: %t", HasTrouble())
	d, err := NewDeployment(record, edges, cores)
	if err != nil {
		record.Notef("the case couldn't run: %v", err)
		return ExitFailed
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		record.Notef("the case was ended early")
		d.Stop()
		os.Exit(ExitFailed)
	}()
	broken, err := check(d)
	d.Stop()
	switch {
	case err != nil:
		record.Notef("the case couldn't run: %v", err)
		return ExitFailed
	case broken:
		record.Notef("the rule was broken")
		return ExitBroken
	}
	record.Notef("the rule held")
	return ExitHeld
}
