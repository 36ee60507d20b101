"""Benchmarks, policy simulation and demonstration."""
