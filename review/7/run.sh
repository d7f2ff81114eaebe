#!/bin/sh
# Plays the case "late"; TROUBLE=0 leaves out the disruption. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-rig2 late review/7/record.txt
