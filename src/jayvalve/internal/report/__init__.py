"""Latency histograms over time and the report on error budgets."""
