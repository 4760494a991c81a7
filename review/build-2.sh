#!/usr/bin/env bash
# Builds the stand-ins of the review cases 6 to 10 that are scripts.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
cd review/standin-2
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review-2 .
