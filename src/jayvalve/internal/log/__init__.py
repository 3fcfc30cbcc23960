"""Access to the platform's append-only log service."""

from jayvalve.internal.log.appender import Appender
from jayvalve.internal.log.client import LogClient, LogPage, LogRecord
from jayvalve.internal.log.follower import LogFollower

__all__ = ["Appender", "LogClient", "LogFollower", "LogPage", "LogRecord"]
