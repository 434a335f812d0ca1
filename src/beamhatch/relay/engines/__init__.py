"""How many engines play which part, and the one VM that orders it."""
