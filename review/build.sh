#!/bin/sh
# Builds the programs of the cases, which hold all stand-ins that the scripts start. They use the standard library alone.
# The gateway is built by the build command of the deploy file.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
go build -o bin/ ./cmd/...
