"""The entry: serves callers, owns programs and routes their calls."""
