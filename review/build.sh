#!/usr/bin/env bash
# Builds the stand-ins of the review. They need nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/standin"
go build -o bin/ .
