"""Connections between the processes of jayvalve."""

from jayvalve.internal.transport.connection import PeerConnection
from jayvalve.internal.transport.handlers import HandlerTable, PeerContext
from jayvalve.internal.transport.pool import PeerPool
from jayvalve.internal.transport.server import PeerServer

__all__ = ["HandlerTable", "PeerConnection", "PeerContext", "PeerPool", "PeerServer"]
