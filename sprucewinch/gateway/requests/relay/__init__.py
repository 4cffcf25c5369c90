"""Requests that pass through another entry VM, as this one has no link; read `relay` first."""
