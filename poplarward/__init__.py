"""Load balancer for expert-parallel model groups.

The package is layered. ``transport`` transfers bytes between processes, ``protocol``
defines typed messages, ``state`` accesses durable state, ``coordination`` coordinates
the processes of a deployment, ``requests`` routes and runs callers' requests, and
``operations`` serves operators. ``programs`` contains the command-line programs.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
