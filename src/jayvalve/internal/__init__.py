"""Package internal."""
