#!/usr/bin/env bash
# Regenerates src/peer_capnp.rs; needs the packages capnproto and capnpc 0.27.
set -euo pipefail
cd "$(dirname "$0")/.."
capnp compile -orust:src --src-prefix=schema schema/peer.capnp
