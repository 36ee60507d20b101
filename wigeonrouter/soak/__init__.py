"""Soak test: runs node processes, injects faults and checks invariants."""
