"""Latency histograms over time and the error budget report."""
