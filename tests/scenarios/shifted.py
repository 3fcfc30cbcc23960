"""Runs jayvalve with its peer socket on another port than the one it announces.

A proxy listens on the announced port, so that a test can make open connections go silent.
Usage: shifted.py PORT jayvalve-arguments...
"""

import sys
from typing import Any

from jayvalve import cli
from jayvalve.internal import runtime

_bind = runtime._bind


def _shift(announced: str, port: str) -> None:
    def bind(address: str) -> tuple[list[Any], str]:
        if address != announced:
            return _bind(address)
        sockets, _ = _bind(f"{address.rpartition(':')[0]}:{port}")
        return sockets, announced

    runtime._bind = bind


if __name__ == "__main__":
    target, hidden = sys.argv[1:3]
    _shift(target, hidden)
    sys.argv[1:3] = []
    cli.main()
