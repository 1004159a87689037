#!/usr/bin/env bash
# Builds the stand-ins and the driver of the cases 6 to 10, which the scripts start. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/review-2/ ./review/standin-2
