"""The command-line programs that operators start."""

__all__: list[str] = []
