"""Serves the operators' remote procedure calls."""

__all__: list[str] = []
