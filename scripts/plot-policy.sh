#!/usr/bin/env bash
# Plots the level of service, second by second, while a data centre leaves and returns. Needs a run of the policy bench.
set -euo pipefail
cd "$(dirname "$0")/.."

for deployment in tipar consorcio; do
    gnuplot <<EOF
set terminal png size 900,400
set output "build/plots/$deployment-move.png"
set title "$deployment: a data centre leaves at 5 s and returns at 15 s, 80% load"
set xlabel "second"
set ylabel "whole answers in a second"
set yrange [0:*]
plot "build/plots/$deployment.move.ours.dat" using 1:2 with lines dashtype 2 title "arrivals", \
     "build/plots/$deployment.move.ours.dat" using 1:3 with lines lw 2 title "ours", \
     "build/plots/$deployment.move.naive.dat" using 1:3 with lines title "naive", \
     "build/plots/$deployment.move.oracle.dat" using 1:3 with lines title "oracle"
EOF
done
