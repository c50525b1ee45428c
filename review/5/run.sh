#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/case5 ] && [ -x target/comfreytillerd ] || exit 2
exec review/bin/case5 review/5/record.txt
