"""Definitions of the two deployments that demos and tests run."""

from typing import Any

import attrs

from jayvalve.internal.registry import Registry

__all__ = ["DEPLOYMENTS", "Deployment", "EndpointPlan", "inventory_document"]

# Settings of the stand-in engines, fast enough that a program of the demo ends within seconds.
ENGINE_SETTINGS = {
    "max_running": 16,
    "prefill_tokens_per_s": 20_000.0,
    "decode_tokens_per_s": 200.0,
    "cache_tokens": 100_000,
}


@attrs.frozen
class EndpointPlan:
    """One endpoint with its sidecar.

    Attributes:
        role: ``model`` or ``application``.
        offers: Models or services that the endpoint offers, depending on its role.
        non_repeatable_paths: Paths whose calls must not be repeated, because they change
            something.
    """

    name: str
    data_centre: str
    role: str
    offers: tuple[str, ...]
    non_repeatable_paths: tuple[str, ...] = ()

    @property
    def standin(self) -> str:
        """Kind of the stand-in that simulates the endpoint."""
        return "model-engine" if self.role == "model" else "application-engine"

    @property
    def adapter(self) -> str:
        """Name of the adapter that the sidecar uses."""
        return "openai" if self.role == "model" else "http"

    def standin_config(self) -> dict[str, Any]:
        """Return the settings of the stand-in."""
        if self.role == "model":
            return {"models": list(self.offers), "engine": dict(ENGINE_SETTINGS)}
        return {}

    def inventory_item(self, sidecar_address: str) -> dict[str, Any]:
        """Return the endpoint's item in the inventory document."""
        item: dict[str, Any] = {
            "name": self.name,
            "address": sidecar_address,
            "data_centre": self.data_centre,
            "role": self.role,
            "limits": {"max_running": ENGINE_SETTINGS["max_running"]},
        }
        if self.role == "model":
            item["models"] = [{"name": model} for model in self.offers]
            item["checks_fencing"] = True
        else:
            item["services"] = list(self.offers)
            item["non_repeatable_paths"] = list(self.non_repeatable_paths)
        return item


@attrs.frozen
class Deployment:
    """A deployment: data centres with one entry each, and endpoints.

    Attributes:
        service: Name of the application service.
        urgent_model: Model that urgent work uses.
        ordinary_model: Model that ordinary work uses.
        change_path: Path of the service's changing calls, which must not be repeated.
    """

    name: str
    data_centres: tuple[str, ...]
    endpoints: tuple[EndpointPlan, ...]
    service: str
    urgent_model: str
    ordinary_model: str
    change_path: str

    @property
    def entries(self) -> list[tuple[str, str]]:
        """Instance name and data centre of each entry."""
        return [(f"entry-{centre}", centre) for centre in self.data_centres]


DEPLOYMENTS: Registry[Deployment] = Registry("deployment")


def _endpoints(
    models: tuple[str, ...], model_centres: list[str], service: str, service_centres: list[str]
) -> tuple[EndpointPlan, ...]:
    change_paths = ("/bookings", "/charges", "/debits")
    engines = [
        EndpointPlan(f"engine-{number}", centre, "model", models)
        for number, centre in enumerate(model_centres, 1)
    ]
    services = [
        EndpointPlan(f"service-{number}", centre, "application", (service,), change_paths)
        for number, centre in enumerate(service_centres, 1)
    ]
    return (*engines, *services)


ACQUAVIVA = DEPLOYMENTS.register("acquaviva")(
    Deployment(
        "acquaviva",
        ("catania", "palermo", "siracusa"),
        _endpoints(
            ("tank-chemistry", "route-advisor"),
            ["catania", "catania", "palermo", "palermo", "siracusa"],
            "deliveries",
            ["catania", "palermo", "siracusa", "catania"],
        ),
        "deliveries",
        "tank-chemistry",
        "route-advisor",
        "/bookings",
    )
)

QUOTAVIVA = DEPLOYMENTS.register("quotaviva")(
    Deployment(
        "quotaviva",
        ("milan-1", "milan-2", "turin", "verona"),
        _endpoints(
            ("reminder-writer",),
            ["milan-1", "milan-2", "turin", "verona", "milan-1"],
            "fees",
            ["milan-1", "milan-2", "turin", "verona"],
        ),
        "fees",
        "reminder-writer",
        "reminder-writer",
        "/debits",
    )
)


def inventory_document(deployment: Deployment, sidecar_addresses: dict[str, str]) -> dict[str, Any]:
    """Return a configuration document for a deployment.

    Args:
        deployment: Deployment with the endpoints to list.
        sidecar_addresses: Peer address of the sidecar by endpoint name.
    """
    return {
        "inventory": {
            "endpoints": [
                plan.inventory_item(sidecar_addresses[plan.name]) for plan in deployment.endpoints
            ]
        },
        "rules": {},
    }
