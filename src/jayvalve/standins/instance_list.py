"""Stand-in of the platform's list of live and leaving instances."""

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
    """Settings of the list; a change shows after lag_s."""

    lag_s: float = attrs.field(default=0.0, validator=attrs.validators.ge(0))
    instances: list[dict[str, Any]] = attrs.field(factory=list)


def _checked_instance(fields: Mapping[str, Any]) -> dict[str, Any]:
    names = ("instance", "role", "data_centre", "address")
    instance = {name: check_identifier(fields.get(name), name) for name in names}
    instance["incarnation"] = check_type(int, fields.get("incarnation"), "incarnation")
    instance["state"] = check_identifier(fields.get("state", LIVE), "state")
    return instance


@STAND_INS.register("instance-list")
class InstanceList(StandIn):
    """A list whose readers see each change after a fixed lag."""

    kind = "instance-list"

    def __init__(
        self, settings: InstanceListSettings | None = None, clock: Clock | None = None
    ) -> None:
        super().__init__([("/instances", InstancesHandler)], clock)
        self._settings = settings if settings is not None else InstanceListSettings()
        self._shown: dict[str, dict[str, Any]] = {}
        self._changes: deque[tuple[float, dict[str, Any]]] = deque()
        for fields in self._settings.instances:
            instance = _checked_instance(fields)
            self._shown[instance["instance"]] = instance

    @classmethod
    def from_config(cls, config: Mapping[str, object]) -> "InstanceList":
        """Build from {"lag_s", "instances"}; both have defaults."""
        return cls(checked_settings(InstanceListSettings, config, cls.kind))

    def change(self, fields: Mapping[str, Any]) -> None:
        """Record a change: action register (the default), leave or remove."""
        action = fields.get("action", "register")
        if action == "register":
            change = {"action": action, **_checked_instance(fields)}
        elif action in ("leave", "remove"):
            name = check_identifier(fields.get("instance"), "instance")
            change = {"action": action, "instance": name}
        else:
            raise InvalidRequestError(f"action={action!r} must be register, leave or remove")
        self._changes.append((self.clock.now() + self._settings.lag_s, change))

    def shown(self) -> list[dict[str, Any]]:
        """Return the instances as readers see them now, by name."""
        while self._changes and self._changes[0][0] <= self.clock.now():
            self._apply(self._changes.popleft()[1])
        return [self._shown[name] for name in sorted(self._shown)]

    def _apply(self, change: dict[str, Any]) -> None:
        name = change["instance"]
        if change["action"] == "register":
            self._shown[name] = {k: v for k, v in change.items() if k != "action"}
        elif change["action"] == "remove":
            self._shown.pop(name, None)
        elif name in self._shown:
            self._shown[name] = {**self._shown[name], "state": LEAVING}


class InstancesHandler(StandInHandler):
    """Reads and changes the list."""

    standin: InstanceList  # type: ignore[assignment]

    def get(self) -> None:
        """Return the instances shown now."""
        self.finish({"instances": self.standin.shown()})

    def post(self) -> None:
        """Record a change."""
        self.standin.change(self.json_body())
        self.finish({"accepted": True})
