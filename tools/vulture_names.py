"""Names that a library calls and no module of ours reads; vulture takes them as used."""
