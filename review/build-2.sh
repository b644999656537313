#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: the rig of this review, and the project's stand-in for a control plane. Run
# it after the build of the deploy file. It needs no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin review/bin
CGO_ENABLED=1 go build -buildvcs=false -ldflags=-linkmode=external -o bin/ ./cmd/xds-standin
cd review
go build -buildvcs=false -o bin/rig2 ./rig2
