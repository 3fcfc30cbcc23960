"""Implementation of the daemons and tools; not a public API, names may change in any release."""
