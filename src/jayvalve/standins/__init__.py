"""Stand-ins for the platform's services, used by tests and demos."""

from jayvalve.standins.application_engine import ApplicationEngine
from jayvalve.standins.batching import ContinuousBatchEngine, EngineCall, EngineEvent
from jayvalve.standins.instance_list import InstanceList
from jayvalve.standins.log_service import LogService
from jayvalve.standins.model_engine import ModelEngine
from jayvalve.standins.platform_engine import PlatformEngine
from jayvalve.standins.platform_store import PlatformStore
from jayvalve.standins.registry import STAND_INS
from jayvalve.standins.runner import run_standin
from jayvalve.standins.weight_store import WeightStore

__all__ = [
    "STAND_INS",
    "ApplicationEngine",
    "ContinuousBatchEngine",
    "EngineCall",
    "EngineEvent",
    "InstanceList",
    "LogService",
    "ModelEngine",
    "PlatformEngine",
    "PlatformStore",
    "WeightStore",
    "run_standin",
]
