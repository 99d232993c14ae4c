#!/bin/sh
# Builds what the cases 6 to 10 start beside the proxy, into review/bin. The proxy is built by the deploy file.
set -e
cd "$(dirname "$0")"
mkdir -p bin
GOFLAGS=-mod=mod GOWORK=off go build -buildvcs=false -o bin/rig2 ./rig2
