#!/bin/sh
# Builds the programs and stand-ins that the scripts of the cases start. It needs no network once the modules are there.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/standin ./cmd/standin
for case in 2 3 4 5; do
  go build -o "target/review/case$case" "./review/$case"
done
