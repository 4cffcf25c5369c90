"""Stand-ins for the systems around sprucewinch, for tests and the demo; never imported by it."""
