"""Experiments that run the decision code against engine models in virtual time."""

from jayvalve.internal.measure.runner import Outcome, experiment_names, run_experiment

__all__ = ["Outcome", "experiment_names", "run_experiment"]
