#!/bin/sh
# Builds what the scripts start beside the controllers: the project's own stand-ins
# (`sageloom emulate`) are part of the program of the deploy file. The scripts themselves are Python
# (3.11 or later, standard library only) and need no build.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline || cargo build --release --locked
