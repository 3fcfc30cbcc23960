"""Priority of a call at an engine, by which urgent programs and those in progress finish first."""

from jayvalve.internal.gateway.calls import Call

__all__ = ["request_priority"]

# Engines accept priorities from 0, the most urgent, to 9, the lowest. The gateway does not use 9.
LOWEST_PRIORITY = 9
# For programs that have missed their deadline. Their results are worth little, so all other
# programs are served first.
LATE_PRIORITY = 8
# Range of remaining time per priority level, in seconds, for programs that last from 1 s to about
# 8 s.
LEVEL_S = 1.0


def request_priority(call: Call) -> int:
    """Return the priority of a call, 0 to LATE_PRIORITY: the earliest program deadline first.

    In a burst, all engines are full. Programs that are close to their deadline are served first,
    programs with time left wait, and programs that are already late are served last. Calls
    without a program deadline are ordered by the rank of their organisation or route.
    """
    remaining_s = call.info.program_deadline_s
    if remaining_s is None:
        return max(0, min(LATE_PRIORITY - 1, 2 + call.rank))
    if remaining_s <= 0:
        return LATE_PRIORITY
    return min(LATE_PRIORITY - 1, int(remaining_s / LEVEL_S))
