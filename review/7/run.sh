#!/bin/sh
# Lets a large configuration change in quick succession, ten times.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2 storm review/7
