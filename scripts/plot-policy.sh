#!/usr/bin/env bash
# Plots the complete responses per second while a data centre is out of service and returns. Requires the output of the
# policy benchmark.
set -euo pipefail
cd "$(dirname "$0")/.."

for deployment in tipar consorcio; do
    gnuplot <<EOF
set terminal png size 900,400
set output "build/plots/$deployment-move.png"
set title "$deployment: a data centre is out of service from 5 s to 15 s, 80% load"
set xlabel "time in s"
set ylabel "complete responses per second"
set yrange [0:*]
plot "build/plots/$deployment.move.ours.dat" using 1:2 with lines dashtype 2 title "arrivals", \
     "build/plots/$deployment.move.ours.dat" using 1:3 with lines lw 2 title "ours", \
     "build/plots/$deployment.move.naive.dat" using 1:3 with lines title "naive", \
     "build/plots/$deployment.move.oracle.dat" using 1:3 with lines title "oracle"
EOF
done
