"""The sidecar: runs attempts at the endpoint beside it and guards the way in."""
