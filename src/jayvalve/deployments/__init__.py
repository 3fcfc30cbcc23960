"""Deployments on loopback for ``jayvalve local``, the demo, tests and evaluation."""

from jayvalve.deployments.definitions import (
    DEPLOYMENTS,
    Deployment,
    EndpointPlan,
    inventory_document,
)
from jayvalve.deployments.in_process import InProcessDeployment, publish_document

__all__ = [
    "DEPLOYMENTS",
    "Deployment",
    "EndpointPlan",
    "InProcessDeployment",
    "inventory_document",
    "publish_document",
]
