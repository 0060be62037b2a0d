#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/. The build of the deploy file has
# to be made as well.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review2 -o target/review-stand2 ./review/stand2
