"""Scripts for developers: a local fleet, seeded load and measurements."""
