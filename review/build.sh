#!/usr/bin/env bash
# Builds the stand-ins and callers of the scripts. The proxies themselves come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-standin ./review/standin
