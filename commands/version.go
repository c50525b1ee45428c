package commands

import "runtime"

func versionCommand(*app) *command {
	return &command{
		name:    "version",
		summary: "Print the version.",
		example: "comfreytiller version",
		run: func(a *app) error {
			if a.json {
				return a.printJSON(struct{ Version, Go string }{Version, runtime.Version()})
			}
			a.printf("comfreytiller %s, %s\n", Version, runtime.Version())
			return nil
		},
	}
}
