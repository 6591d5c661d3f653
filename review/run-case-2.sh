#!/usr/bin/env bash
# Runs the case $1 in the folder $2 and ends what is left of its processes.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
case=$1
folder=$2
cd "$(dirname "$0")/.." || exit 2
root=$PWD
program=$root/review/stand-in-2/target/release/review-stand-in-2
record=$root/$folder/record.txt
for needed in "$program" "$root/target/release/stilequay"; do
  if [ ! -x "$needed" ]; then
    echo "$needed is missing: run the build of deploy/system.toml, then review/build-2.sh"
    exit 2
  fi
done
"$program" "$case" "$root" "$record" &
running=$!
end_processes() {
  kill -9 "$running" 2>/dev/null
  sed -n 's/^ *[0-9]* started process \([0-9]*\) .*/\1/p' "$record" 2>/dev/null | while read -r id; do
    if [ "$(cat "/proc/$id/comm" 2>/dev/null)" = stilequay ]; then
      kill -9 "$id" 2>/dev/null
    fi
  done
}
trap 'end_processes; exit 2' INT TERM
wait "$running"
result=$?
end_processes
case $result in
  0 | 1) exit "$result" ;;
  *) exit 2 ;;
esac
