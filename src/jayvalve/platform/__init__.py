"""Adapter to the platform: its names, formats and calls. It contains no decision logic."""
