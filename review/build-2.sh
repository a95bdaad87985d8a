#!/usr/bin/env bash
# Prepares the stand-ins of the cases 6 to 10. They are plain JavaScript and need nothing but the runtime, so that it is enough to check that it reads them.
set -eu
cd "$(dirname "$0")"
for file in lib-2/*.js [6-9]/*.js 10/*.js; do
	if [ -e "$file" ]; then
		node --check "$file"
	fi
done
