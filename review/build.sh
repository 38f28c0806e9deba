#!/usr/bin/env bash
# Builds the stand-ins that the cases use (the project's own, compiled from test/standin) into target/test/.
set -euo pipefail
cd "$(dirname "$0")/.."
npx tsc -p tsconfig.test.json --outDir target/test
