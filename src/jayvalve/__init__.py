"""Scheduler for agent programs in front of model engines and application services."""

__all__: list[str] = []
