#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. Run it in the root of the
# repository after the build of deploy/system.toml. It needs no network.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-2/bed ./review/_standin2
