#!/usr/bin/env bash
# Builds the programs that the scripts of the second review start, besides the daemon of the deploy
# file: each has its stand-ins for clients, replicas, the operator and the platform in it.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p .bin/review-2
for case in review/{6,7,8,9,10}; do
	if [ -f "$case/main.go" ]; then
		go build -ldflags=-linkmode=external -o ".bin/review-2/case-${case#review/}" "./$case"
	fi
done
