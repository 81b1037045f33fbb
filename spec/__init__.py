"""Models of the core protocols, checked in every reachable state."""
