"""Merges the answers of entries into the state of a deployment."""

from collections import Counter
from collections.abc import Sequence
from typing import Any

from jayvalve.internal.operator.fleet import FleetAnswers, fetch_all
from jayvalve.internal.operator.rollout import merge_instances

__all__ = ["fetch_status", "merge_status"]


def merge_status(fleet: FleetAnswers) -> dict[str, Any]:
    """Return one document for the whole deployment.

    Entries that did not answer are listed under missing; their programs and calls are not
    counted. For each load figure of an endpoint, the highest reported value is shown, since
    reports lag.
    """
    ranks: Counter[str] = Counter()
    uncertain: list[dict[str, Any]] = []
    calls = programs = 0
    for status in fleet.answers.values():
        # Entries of older releases do not send these fields.
        ranks.update(status.get("programs_by_rank", {}))
        found = status.get("may_have_run", [])
        uncertain += [{**call, "entry": status["instance"]} for call in found]
        calls += status["calls"]
        programs += status["programs"]
    return {
        "instances": list(merge_instances(fleet).values()),
        "endpoints": _endpoints(fleet),
        "programs": programs,
        "programs_by_rank": dict(ranks),
        "calls": calls,
        "may_have_run": sorted(uncertain, key=lambda call: call["ended_at"]),
        "missing": fleet.missing,
    }


async def fetch_status(urls: Sequence[str]) -> dict[str, Any]:
    """Fetch the status of all entries and return the merged document."""
    return merge_status(await fetch_all(urls, "/status"))


def _endpoints(fleet: FleetAnswers) -> list[dict[str, Any]]:
    merged: dict[str, dict[str, Any]] = {}
    for status in fleet.answers.values():
        for endpoint in status["endpoints"]:
            merged_endpoint = merged.setdefault(endpoint["name"], {**endpoint, "ejected_by": []})
            for name in ("running", "waiting", "waiting_urgent"):
                merged_endpoint[name] = max(merged_endpoint.get(name, 0), endpoint.get(name, 0))
            if endpoint["state"] == "ejected":
                merged_endpoint["ejected_by"].append(status["instance"])
            elif merged_endpoint["state"] == "ejected":
                merged_endpoint["state"] = endpoint["state"]
    return [merged[name] for name in sorted(merged)]
