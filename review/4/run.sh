#!/bin/sh
# Evacuates a zone while the store gives two of six instances no answer for 0.2 s.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2 evacuation review/4
