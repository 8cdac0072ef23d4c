"""Small stand-ins for the systems outside: object API, engines, plain services."""

__all__: list[str] = []
