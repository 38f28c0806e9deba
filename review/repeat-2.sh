#!/bin/sh
# Runs one case N times in a row, and once without its disruption: sh review/repeat.sh CASE [N]
cd "$(dirname "$0")/$1" || exit 2
failed=0
for i in $(seq "${2:-5}"); do
  ./run.sh
  code=$?
  echo "case $1, run $i: exit $code"
  [ $code -eq 1 ] && failed=$((failed + 1))
done
echo "case $1: failed $failed of ${2:-5}"
TROUBLE=0 ./run.sh
echo "case $1, TROUBLE=0: exit $?"
