"""Load balancer for expert-parallel model groups.

The package is layered. ``transport`` moves bytes between processes, ``protocol``
gives them types, ``state`` holds what must last, ``coordination`` lets the
processes of a deployment act together, ``requests`` carries callers' work, and
``operations`` serves the operators. ``programs`` holds the command-line programs.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
