#!/bin/sh
# Runs a case COUNT times with the disruption and once without, and counts the
# exit codes.  Usage: review/runs.sh CASE [COUNT]
cd "$(dirname "$0")"
number=0
while [ "$number" -lt "${2:-5}" ]; do
  number=$((number + 1))
  "./$1/run.sh" && code=0 || code=$?
  echo "case $1, run $number: exit $code"
done
TROUBLE=0 "./$1/run.sh" && code=0 || code=$?
echo "case $1, TROUBLE=0: exit $code"
