#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review2 -o target/standins-2 ./review/standins-2
