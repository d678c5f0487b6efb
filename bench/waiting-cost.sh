#!/bin/sh
# Cost of the admission queue and pending reasons: CPU time of the placer per task with and without them, in turn, and the
# ratio of the medians; then with 1,000 and 100,000 tasks that fit no node and stay pending, and resident memory.
# Usage: bench/waiting-cost.sh [ROUNDS]; takes about a minute a round. Needs an otherwise idle machine.
rounds=${1:-3}
root=$(cd "$(dirname "$0")/.." && pwd)
jar="$root/app/target/thornferry.jar"
[ -f "$jar" ] || { echo "build first: mvn -q -DskipTests package" >&2; exit 1; }
cost() { # ARGS...: CPU microseconds per task, and resident megabytes; the first step warms up
  java -jar "$jar" load --rate 500,1000 --seconds 6 --nodes 20 --heap 2g --json --log-level error "$@" \
    | tail -1 | sed 's/.*"cpuMicrosPerTask":\([0-9]*\),"residentMb":\([0-9]*\).*/\1 \2/'
}
median() { sort -n | awk '{ a[NR] = $1 } END { print a[int((NR + 1) / 2)] }'; }
for waiting in 0 1000; do
  with="" without=""
  for i in $(seq "$rounds"); do
    on=$(cost --waiting $waiting) off=$(cost --waiting $waiting --no-line)
    echo "$waiting waiting: with $on MB, without $off MB (us a task, MB resident)"
    with="$with ${on% *}" without="$without ${off% *}"
  done
  a=$(printf '%s\n' $with | median) b=$(printf '%s\n' $without | median)
  echo "$waiting waiting: medians $a and $b us a task, ratio $(awk "BEGIN { printf \"%.3f\", $a / $b }")"
done
echo "100000 waiting: with $(cost --waiting 100000) (us a task, MB resident)"
