#!/bin/sh
# Builds the stand-ins of the review into review/bin. It needs the standard library only.
set -e
cd "$(dirname "$0")"
mkdir -p bin
GOFLAGS=-mod=mod GOWORK=off go build -o bin/standins ./standins
