#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into review/bin/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
if ! out=$(go build -buildvcs=false -o review/bin/standin ./review/_standin 2>&1); then
	echo "$out"
	exit 1
fi
