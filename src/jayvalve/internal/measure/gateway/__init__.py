"""Simulates the gateway's decisions under the loads of peak days, without a real platform."""

from jayvalve.internal.measure.gateway.load import LOADS, GatewayLoad
from jayvalve.internal.measure.gateway.policies import POLICIES
from jayvalve.internal.measure.gateway.run import GatewayFigures, run_gateway, simulate_load

__all__ = ["LOADS", "POLICIES", "GatewayFigures", "GatewayLoad", "simulate_load", "run_gateway"]
