"""Checks of answers, verdicts and changes with idempotency keys (P5 to P7)."""

from collections import defaultdict
from collections.abc import Iterator

from jayvalve.internal.measure.faults.callers import Submission
from jayvalve.internal.measure.faults.endpoints import EndpointRun, answer_text
from jayvalve.internal.measure.faults.promises import CHECKS, model_runs
from jayvalve.internal.measure.faults.world import World

__all__ = ["check_answers", "check_not_run", "check_once"]


@CHECKS.register("P5")
def check_answers(world: World) -> Iterator[str | None]:
    """Check that each answer is complete and belongs to its request.

    All answers to the same model request must be equal.
    """
    texts: dict[str, set[str]] = defaultdict(set)
    for run in model_runs(world):
        texts[run.tag].add(answer_text(run.messages))
    answers_by_tag: dict[str, set[str]] = defaultdict(set)
    for item in world.callers.submissions:
        if item.outcome != "answer" or item.kind == "control":
            continue
        if item.kind == "change":
            is_correct = item.body == b'{"done": "%s"}' % item.tag.encode()
        else:
            is_correct = item.text in texts[item.tag]
            answers_by_tag[item.tag].add(item.text)
        yield None if is_correct else f"{item.tag} got {item.body[:80]!r} from {item.entry}"
    for tag, answers in answers_by_tag.items():
        if len(answers) > 1:
            yield f"{tag} got {len(answers)} different answers"


@CHECKS.register("P6")
def check_not_run(world: World) -> Iterator[str | None]:
    """Check that no request ran that was reported as not run.

    If a request was submitted several times, a run may belong to any submission that was in
    progress or ended with another outcome. A report is therefore checked only if all
    submissions started by then had been refused or reported as not run. Only runs that start
    before the next submission count, since that submission may run the request.
    """
    runs: dict[str, list[EndpointRun]] = defaultdict(list)
    for run in world.runs:
        runs[run.tag].append(run)
    requests: dict[str, list[Submission]] = defaultdict(list)
    for item in world.callers.submissions:
        if item.kind != "control":
            requests[item.tag].append(item)
    for tag, items in requests.items():
        for item in items:
            if item.outcome != "error" or item.verdict != "not_run":
                continue
            ended_s = item.ended_s or 0.0
            before = [other for other in items if other.started_s <= ended_s]
            if any(not _is_known_not_run(other, ended_s) for other in before):
                continue
            later = [other.started_s for other in items if other.started_s > ended_s]
            limit_s = min(later, default=float("inf"))
            ran = [run for run in runs[tag] if run.started_s < limit_s]
            yield (
                None
                if not ran
                else (
                    f"{tag} was reported as not run ({item.code}) at {ended_s:.3f} and ran at "
                    f"{ran[0].started_s:.3f}"
                )
            )


def _is_known_not_run(item: Submission, at_s: float) -> bool:
    if item.outcome == "refused":
        return True
    ended = item.ended_s is not None and item.ended_s <= at_s
    return ended and item.outcome == "error" and item.verdict == "not_run"


@CHECKS.register("P7")
def check_once(world: World) -> Iterator[str | None]:
    """Check that services ran the change of each key at most once."""
    by_key: dict[str, list[EndpointRun]] = defaultdict(list)
    for run in world.runs:
        if run.key:
            by_key[run.key].append(run)
    for key, runs in by_key.items():
        places = ", ".join(f"{run.endpoint} {run.started_s:.3f}" for run in runs)
        yield None if len(runs) == 1 else f"{key} ran {len(runs)} times: {places}"
