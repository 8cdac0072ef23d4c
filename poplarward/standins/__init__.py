"""Stand-ins for external systems: object API, engines, plain services."""

__all__: list[str] = []
