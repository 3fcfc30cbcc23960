"""Membership: which processes exist and the state of each."""

from jayvalve.internal.membership.detector import Detector
from jayvalve.internal.membership.health import LocalHealth
from jayvalve.internal.membership.heartbeats import HeartbeatBuilder, HeartbeatSource
from jayvalve.internal.membership.instance_list import InstanceListPoller, parse_instances
from jayvalve.internal.membership.member import (
    Member,
    MemberChange,
    MemberState,
    MemberUpdate,
    decode_update,
    encode_update,
)
from jayvalve.internal.membership.view import MembershipView

__all__ = [
    "Detector",
    "HeartbeatBuilder",
    "HeartbeatSource",
    "InstanceListPoller",
    "LocalHealth",
    "Member",
    "MemberChange",
    "MemberState",
    "MemberUpdate",
    "MembershipView",
    "decode_update",
    "encode_update",
    "parse_instances",
]
