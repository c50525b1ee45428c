# Developers' commands. `make run` and `make test` are all that a newcomer needs.

MODULES := $(shell go list -m -f '{{.Dir}}')
TOOL := GOWORK=off go tool -modfile=tools/go.mod
GENERATED := \.(pb|twirp)\.go$$
SOURCES := $(shell git ls-files -co --exclude-standard '*.go' | grep -vE '$(GENERATED)')

.PHONY: run test build format lint unit race spec measure tidy generate

run:
	go run ./cmd/comfreytiller run

test: lint unit race spec

build:
	go build work

format:
	$(TOOL) gofumpt -w $(SOURCES)

lint:
	scripts/lint

unit:
	scripts/unit

race:
	scripts/race

spec:
	scripts/spec

measure:
	scripts/measure

tidy:
	scripts/tidy

generate:
	scripts/generate
