"""Stand-in for the platform's list of live and leaving instances."""

from collections import deque
from collections.abc import Mapping
from typing import Any

import attrs

from jayvalve.errors import InvalidRequestError
from jayvalve.internal.timing import Clock
from jayvalve.internal.validation import check_identifier, check_type
from jayvalve.standins.registry import STAND_INS
from jayvalve.standins.server import StandIn, StandInHandler, checked_settings

__all__ = ["InstanceList", "InstanceListSettings"]

LIVE = "live"
LEAVING = "leaving"


@attrs.frozen
class InstanceListSettings:
    """Settings of the list.

    Attributes:
        lag_s: Delay before readers see a change, in seconds.
        instances: Instances that are listed at startup.

    """

    lag_s: float = attrs.field(default=0.0, validator=attrs.validators.ge(0))
    instances: list[dict[str, Any]] = attrs.field(factory=list)


def _parse_instance(fields: Mapping[str, Any]) -> dict[str, Any]:
    names = ("instance", "role", "data_centre", "address")
    instance = {name: check_identifier(fields.get(name), name) for name in names}
    instance["incarnation"] = check_type(int, fields.get("incarnation"), "incarnation")
    instance["state"] = check_identifier(fields.get("state", LIVE), "state")
    return instance


@STAND_INS.register("instance-list")
class InstanceList(StandIn):
    """List of instances whose readers see each change after a fixed lag."""

    kind = "instance-list"

    def __init__(
        self, settings: InstanceListSettings | None = None, clock: Clock | None = None
    ) -> None:
        super().__init__([("/instances", InstancesHandler)], clock)
        self._settings = settings if settings is not None else InstanceListSettings()
        self._visible: dict[str, dict[str, Any]] = {}
        self._pending_changes: deque[tuple[float, dict[str, Any]]] = deque()
        for fields in self._settings.instances:
            instance = _parse_instance(fields)
            self._visible[instance["instance"]] = instance

    @classmethod
    def from_config(cls, config: Mapping[str, object]) -> "InstanceList":
        """Build the list from {"lag_s", "instances"}; both have defaults."""
        return cls(checked_settings(InstanceListSettings, config, cls.kind))

    def record_change(self, fields: Mapping[str, Any]) -> None:
        """Record a change, whose action is register (the default), leave or remove."""
        action = fields.get("action", "register")
        if action == "register":
            change = {"action": action, **_parse_instance(fields)}
        elif action in ("leave", "remove"):
            name = check_identifier(fields.get("instance"), "instance")
            change = {"action": action, "instance": name}
        else:
            raise InvalidRequestError(f"action={action!r} must be register, leave or remove")
        self._pending_changes.append((self.clock.now() + self._settings.lag_s, change))

    def visible_instances(self) -> list[dict[str, Any]]:
        """Return the instances that readers see now, sorted by name."""
        while self._pending_changes and self._pending_changes[0][0] <= self.clock.now():
            self._apply(self._pending_changes.popleft()[1])
        return [self._visible[name] for name in sorted(self._visible)]

    def _apply(self, change: dict[str, Any]) -> None:
        name = change["instance"]
        if change["action"] == "register":
            self._visible[name] = {k: v for k, v in change.items() if k != "action"}
        elif change["action"] == "remove":
            self._visible.pop(name, None)
        elif name in self._visible:
            self._visible[name] = {**self._visible[name], "state": LEAVING}


class InstancesHandler(StandInHandler):
    """Reads and changes the list."""

    standin: InstanceList  # type: ignore[assignment]

    def get(self) -> None:
        """Return the visible instances."""
        self.finish({"instances": self.standin.visible_instances()})

    def post(self) -> None:
        """Record a change."""
        self.standin.record_change(self.json_body())
        self.finish({"accepted": True})
