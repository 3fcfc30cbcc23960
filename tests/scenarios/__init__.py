"""A small test language for scenarios over separate processes."""
