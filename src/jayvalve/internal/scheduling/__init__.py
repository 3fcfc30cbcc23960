"""Queueing and admission control of calls in front of an endpoint."""

from jayvalve.internal.scheduling.admission import (
    AdmissionControl,
    AdmissionSettings,
    ServiceRate,
)
from jayvalve.internal.scheduling.attained import AttainedService
from jayvalve.internal.scheduling.calls import QueuedCall, Rank
from jayvalve.internal.scheduling.queue import (
    EndpointQueue,
    FcfsQueue,
    QueueSettings,
    queue_policies,
)

__all__ = [
    "AdmissionControl",
    "AdmissionSettings",
    "AttainedService",
    "EndpointQueue",
    "FcfsQueue",
    "QueueSettings",
    "QueuedCall",
    "Rank",
    "ServiceRate",
    "queue_policies",
]
