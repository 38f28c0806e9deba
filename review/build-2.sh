#!/bin/sh
# Prepares the second review's cases, after the build of the deploy file. Their stand-ins are plain scripts in
# review/lib-2/, which need no compilation: this checks that they and the service can start.
set -e
cd "$(dirname "$0")/.."
test -f target/topazpin.cjs || { echo 'target/topazpin.cjs is missing: run the build of the deploy file' >&2; exit 1; }
node --check review/lib-2/cluster.mjs
for script in review/[4-8]/*.mjs; do node --check "$script"; done
node --input-type=module -e "await import('cbor-x')"
