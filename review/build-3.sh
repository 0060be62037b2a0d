#!/usr/bin/env bash
# Builds the stand-ins of the cases of review 3, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review3 -o target/review-stand3 ./review/stand3
