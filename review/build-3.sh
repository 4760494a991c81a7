#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
mkdir -p ../../target
GOWORK=off go build -buildvcs=false -o ../../target/standin-3 .
