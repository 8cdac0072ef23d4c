"""Benchmarks and the demonstration, each run with ``python -m``."""
