#!/usr/bin/env bash
# Runs the case of a folder: run.sh FOLDER. Exits with 1 if the rule was broken, 0 if it held,
# and 2 if the case could not run. The nodes end with the program that started them.
cd "$1" || exit 2
program=../../target/review/case$(basename "$PWD")
[ -x "$program" ] && [ -x ../../target/snipescaled ] || exit 2
timeout -k 2 115 "$program" "$PWD"
status=$?
[ $status -le 1 ] && exit $status
exit 2
