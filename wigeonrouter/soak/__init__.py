"""Runs real nodes as processes, disturbs them, and checks the promises."""
