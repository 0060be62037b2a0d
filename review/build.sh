#!/usr/bin/env bash
# Builds the stand-ins that the cases start. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-stand ./review/stand
