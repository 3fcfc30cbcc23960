"""Waits until a configuration version is in use by all live instances."""

import asyncio
from collections.abc import Sequence
from typing import Any

import attrs

from jayvalve.internal.operator.fleet import FleetAnswers, fetch_all

__all__ = ["Rollout", "merge_instances", "rollout_state", "wait_for_version"]

POLL_INTERVAL_S = 0.25
# A suspect instance may still serve calls, so it is treated as live until it is declared dead.
LIVE_STATES = frozenset({"live", "suspect"})
# From the most to the least favourable state; unknown states are ordered last.
STATE_ORDER = ("live", "draining", "suspect", "dead", "left")


@attrs.frozen
class Rollout:
    """Progress of a configuration version across the live instances.

    Attributes:
        version: The version that is rolled out.
        reached: Names of the live instances that have this version or a later one.
        pending: Latest known version by name of each live instance that has an earlier one.
        missing: Reason by URL of each entry that did not answer.
    """

    version: int
    reached: list[str]
    pending: dict[str, int]
    missing: dict[str, str]

    @property
    def complete(self) -> bool:
        """True if at least one live instance has the version and none is pending."""
        return bool(self.reached) and not self.pending


def merge_instances(fleet: FleetAnswers) -> dict[str, dict[str, Any]]:
    """Return the merged state of each instance by name.

    The status that an answering entry reports for itself takes precedence. For other instances,
    the most favourable reported state is used, since a single entry that is cut off from the
    network declares all others dead, and the highest reported version, since versions never
    decrease.
    """
    merged: dict[str, dict[str, Any]] = {}
    for status in fleet.answers.values():
        for member in status["members"]:
            merged_member = merged.setdefault(member["instance"], dict(member))
            merged_member["state"] = min(
                merged_member["state"], member["state"], key=_state_position
            )
            merged_member["configuration_version"] = max(
                merged_member.get("configuration_version", 0),
                member.get("configuration_version", 0),
            )
    for status in fleet.answers.values():
        merged[status["instance"]] = {
            name: status[name]
            for name in ("instance", "role", "data_centre", "state", "configuration_version")
        }
    return dict(sorted(merged.items()))


def rollout_state(fleet: FleetAnswers, version: int) -> Rollout:
    """Return the progress of the version across the live instances."""
    live = {
        name: item.get("configuration_version", 0)
        for name, item in merge_instances(fleet).items()
        if item["state"] in LIVE_STATES
    }
    return Rollout(
        version,
        [name for name, seen in live.items() if seen >= version],
        {name: seen for name, seen in live.items() if seen < version},
        fleet.missing,
    )


async def wait_for_version(urls: Sequence[str], version: int, timeout_s: float) -> Rollout:
    """Poll until the rollout is complete or timeout_s has passed; return the last state."""
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_s
    while True:
        state = rollout_state(await fetch_all(urls, "/status"), version)
        if state.complete or loop.time() >= deadline_s:
            return state
        await asyncio.sleep(POLL_INTERVAL_S)


def _state_position(state: str) -> int:
    return STATE_ORDER.index(state) if state in STATE_ORDER else len(STATE_ORDER)
