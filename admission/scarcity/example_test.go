package scarcity_test

import (
	"fmt"
	"time"

	"comfreytiller.dev/admission/scarcity"
)

func ExampleService() {
	now := time.Unix(1000, 0)
	service := scarcity.NewService(scarcity.PlainService, nil)
	service.Observe(now, scarcity.Load{InFlight: 5, Slots: 18, Hosts: 141})
	decision := service.Decide(now, &scarcity.Request{
		Class: scarcity.Class{Workspace: "students"}, Started: now, Deadline: now.Add(time.Second),
	})
	fmt.Println(decision.Verdict == scarcity.Admitted)
	// Output: true
}
