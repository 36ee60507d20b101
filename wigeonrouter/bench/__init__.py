"""Benchmarks, policy simulation and demonstration."""

from wigeonrouter.bench import _measuring

process_cpu_seconds = _measuring.process_cpu_seconds
