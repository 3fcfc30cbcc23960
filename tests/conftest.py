"""Passes over exactly the tests that KNOWN-RED.txt lists."""

import pathlib
import sys

import pytest
from loguru import logger

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
PREFIX = "test:"


def known_red_tests() -> set[str]:
    """Return the ids on the ``test:`` lines of KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line.strip().removeprefix(PREFIX).strip() for line in lines if line.startswith(PREFIX)}


def pytest_configure() -> None:
    """Leave out debug lines, which would hide the reason of a failure."""
    logger.remove()
    logger.add(sys.stderr, level="WARNING")


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the listed tests as expected failures that are not run."""
    listed = known_red_tests()
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt", run=False))
