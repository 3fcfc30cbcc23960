"""Waits until all live instances have a configuration version."""

import asyncio
from collections.abc import Sequence
from typing import Any

import attrs

from jayvalve.internal.operator.fleet import FleetAnswers, fetch_all

__all__ = ["Rollout", "instances", "rollout_state", "wait_for_version"]

POLL_INTERVAL_S = 0.25
# A suspect instance may still serve, so it counts as live until it is declared dead.
LIVE_STATES = frozenset({"live", "suspect"})
STATE_ORDER = ("live", "draining", "suspect", "dead", "left")


@attrs.frozen
class Rollout:
    """Which live instances have a version.

    Attributes:
        reached: Names of the live instances that have it.
        pending: Live instances that have not, with the version that they were seen with.
        missing: Entries that did not answer, with the reason.
    """

    version: int
    reached: list[str]
    pending: dict[str, int]
    missing: dict[str, str]

    @property
    def complete(self) -> bool:
        """Whether at least one entry answered and every live instance has the version."""
        return bool(self.reached) and not self.pending


def instances(fleet: FleetAnswers) -> dict[str, dict[str, Any]]:
    """Merge what the answering entries say of all instances.

    An entry knows itself best. Of the others, the most favourable state counts, since a
    single observer that is cut off declares everybody dead, and the highest version seen,
    since versions never go down.
    """
    merged: dict[str, dict[str, Any]] = {}
    for status in fleet.answers.values():
        for member in status["members"]:
            known = merged.setdefault(member["instance"], dict(member))
            known["state"] = min(known["state"], member["state"], key=_state_rank)
            known["configuration_version"] = max(
                known.get("configuration_version", 0), member.get("configuration_version", 0)
            )
    for status in fleet.answers.values():
        merged[status["instance"]] = {
            name: status[name]
            for name in ("instance", "role", "data_centre", "state", "configuration_version")
        }
    return dict(sorted(merged.items()))


def rollout_state(fleet: FleetAnswers, version: int) -> Rollout:
    """Return which live instances have the version or a later one."""
    live = {
        name: item.get("configuration_version", 0)
        for name, item in instances(fleet).items()
        if item["state"] in LIVE_STATES
    }
    return Rollout(
        version,
        [name for name, seen in live.items() if seen >= version],
        {name: seen for name, seen in live.items() if seen < version},
        fleet.missing,
    )


async def wait_for_version(urls: Sequence[str], version: int, timeout_s: float) -> Rollout:
    """Poll until the rollout is complete or timeout_s has passed; return its last state."""
    loop = asyncio.get_running_loop()
    limit_s = loop.time() + timeout_s
    while True:
        state = rollout_state(await fetch_all(urls, "/status"), version)
        if state.complete or loop.time() >= limit_s:
            return state
        await asyncio.sleep(POLL_INTERVAL_S)


def _state_rank(state: str) -> int:
    return STATE_ORDER.index(state) if state in STATE_ORDER else len(STATE_ORDER)
