"""Which software version began each stream, so that a caller's stream continues at that version only."""
