#!/usr/bin/env bash
# Builds the programs of the deploy file into target/, and the drivers of the cases into review/bin/.
set -euo pipefail
cd "$(dirname "$0")/.."
$(sed -n 's/^build = "\(.*\)"/\1/p' deploy/system.toml)
go build -tags review -o review/bin/ ./review/...
