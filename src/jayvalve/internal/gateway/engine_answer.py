"""An engine's answer to a call, from its head on."""

import attrs

from jayvalve.internal.gateway.calls import AttemptRecord, Call
from jayvalve.internal.gateway.directory import EngineView
from jayvalve.internal.gateway.http_client import Exchange, ResponseHead
from jayvalve.internal.gateway.in_hand import EngineRun
from jayvalve.internal.gateway.survival import SurvivalWatch

__all__ = ["EngineAnswer"]


@attrs.define
class EngineAnswer:
    """An engine's answer whose head has arrived.

    Attributes:
        view: The engine.
        exchange: Exchange from which the body is read.
        started_s: Monotonic time at which the attempt began, before the connection was opened.
        tokens: Tokens that the call needs in the engine's memory.
        call: The call that the engine answers.
        run: The attempt, as the engine may be running it.
        trial: Fingerprint of a call under which an engine has ended before, or None.
        watch: Watch of the engine, if nothing but the connection ends the answer.

    """

    view: EngineView
    exchange: Exchange
    head: ResponseHead
    attempt: AttemptRecord
    started_s: float
    tokens: int
    call: Call
    run: EngineRun
    trial: str | None = None
    watch: SurvivalWatch | None = None
