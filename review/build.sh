#!/usr/bin/env bash
# Builds the stand-ins of the review's cases. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../bin
go build -o ../bin/standin .
