#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin. They need no module beyond the standard library.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local CGO_ENABLED=0 go build -o bin/rig ./rig
