"""Global traffic steering: look-up, request path and control for a fleet of entry VMs."""

__version__ = "0.1.0"
