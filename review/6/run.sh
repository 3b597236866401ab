#!/bin/sh
# Changes a large configuration in quick succession while one of ten instances stands still for 3.5 s.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2 behind review/6
