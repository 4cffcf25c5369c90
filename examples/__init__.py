"""Examples that run as they stand."""
