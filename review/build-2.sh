#!/usr/bin/env bash
# Builds the stand-ins of the second review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
go build -o ../../target/review-2/ .
mv ../../target/review-2/egretproxy-review-2 ../../target/review-2/standin-2
