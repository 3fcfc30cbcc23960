"""Stand-ins and clients of the second review, with the standard library only."""
