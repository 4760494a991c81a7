#!/usr/bin/env bash
# One heartbeat of another writer, whose service the configuration does not name.
# TROUBLE=0 plays the same without it. Exits with 1 if UNASKED was broken.
set -u
cd "$(dirname "$0")/../.."
[ -x target/bulrushd ] && [ -x review/bin/standin ] || exit 2
exec review/bin/standin odd-heartbeat review/1/record.txt
