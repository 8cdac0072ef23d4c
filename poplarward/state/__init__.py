"""What must last, kept in the platform's object API.

A store client with conditional updates, and the typed records written through it.
"""

__all__: list[str] = []
