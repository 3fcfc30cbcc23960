"""Shared parts of the review's scripts: fleet, engine process, client."""
