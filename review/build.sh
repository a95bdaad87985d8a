#!/bin/sh
# The stand-ins of the cases are plain JavaScript modules in review/lib; nothing has to be compiled. This checks their syntax.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
	node --check "$file"
done
