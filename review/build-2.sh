#!/bin/sh
# Builds the stand-ins of the cases review/6 to review/10 into target/review-2. Run it after the build line of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/harness ./review/harness-2
