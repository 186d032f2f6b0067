#!/bin/sh
# Builds the stand-ins of the scripted cases into review/bin.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -buildvcs=false -o review/bin/ ./review/harness
