"""Measurements and the demonstration; each is run with ``python -m``."""
