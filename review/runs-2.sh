#!/bin/sh
# Runs a case five times and prints its exit codes, then once without trouble.
#   review/runs-2.sh 6
cd "$(dirname "$0")/$1" || exit 2
for number in 1 2 3 4 5; do
  ./run.sh > /dev/null 2>&1
  echo "case $1, run $number: exit code $?, $(tail -n 1 record.txt)"
done
TROUBLE=0 ./run.sh > /dev/null 2>&1
echo "case $1, without trouble: exit code $?, $(tail -n 1 record.txt)"
