#!/usr/bin/env bash
# Builds the stand-ins of all cases.
set -euo pipefail
cd "$(dirname "$0")/.."
for main in review/[1-5]/main.go; do
	folder=$(dirname "$main")
	go build -o "review/bin/case$(basename "$folder")" "./$folder"
done
